// Evidence against prompt segments, its exchange, and the trials of quarantined segments.
#include "admission/segment_quarantine.hpp"

#include "helpers/ids.hpp"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace samphirespool::admission {

namespace {

// A request whose response had begun is a likelier cause of the loss than one that still waited or
// whose prompt was still being processed.
constexpr std::uint32_t begun_weight = 2;
constexpr std::uint32_t waiting_weight = 1;
// Three losses at the start of a response, or six before it, without any request that got further.
constexpr std::uint32_t quarantine_score = 6;
// Targets that are lost within this time count once: a rack, a data centre or a gateway's own
// connections can fail as a whole.
constexpr helpers::duration moment_length = std::chrono::milliseconds(50);
constexpr std::size_t max_losses = 16;
// Of one segment. Receivers need only the latest of a quarantined segment that is no news.
constexpr std::size_t max_sent_losses = 6;
constexpr std::size_t max_segments = 512;
constexpr std::size_t max_explained = 1024;
// Evidence is forgotten after this time without a change.
constexpr helpers::duration evidence_lifetime = std::chrono::minutes(10);
constexpr helpers::duration quarantine_lifetime = std::chrono::hours(1);
// Changes are sent for this long, which covers several reports to each peer.
constexpr helpers::duration news_lifetime = std::chrono::seconds(2);
// Segments that lost targets at this many moments are always sent, also to gateways that join.
constexpr std::size_t always_sent_moments = 2;
// Wait before the first trial; each further loss multiplies it.
constexpr helpers::duration first_trial_wait = std::chrono::seconds(5);
constexpr std::int64_t trial_wait_factor = 4;
constexpr std::size_t losses_before_first_trial = 3;
constexpr std::size_t max_wait_steps = 3;
// Ages of exchanged losses are uncertain by this much.
constexpr helpers::duration clearance_margin = std::chrono::milliseconds(300);
// Gateways take turns of this length, in which the loss that a trial causes reaches all of them.
constexpr helpers::duration trial_turn = std::chrono::seconds(2);

// The segments that other requests can share: all but the last.
std::span<const placement::prompt_segment> shared_segments(const placement::prompt& prompt) {
    const std::span all(prompt.segments);
    return all.empty() ? all : all.first(all.size() - 1);
}

helpers::duration lifetime_of(bool is_quarantined) {
    return is_quarantined ? quarantine_lifetime : evidence_lifetime;
}

std::uint64_t rank_of(std::uint64_t segment, std::int64_t turn, std::string_view member) {
    const std::array<std::uint64_t, 2> key{segment, static_cast<std::uint64_t>(turn)};
    std::string text(reinterpret_cast<const char*>(key.data()), sizeof(key));
    return helpers::hash_name(text.append(member));
}

} // namespace

void segment_quarantine::on_target_lost(const placement::prompt& prompt,
                                        std::uint32_t incarnation_hash, bool had_begun,
                                        helpers::time_point now) {
    std::uint8_t depth = 0;
    for (const auto& each : shared_segments(prompt)) {
        auto& state = this->segments[each.id];
        state.depth = std::max(state.depth, depth++);
        this->record_loss(state, {incarnation_hash, had_begun, now}, now);
    }
    this->quarantine_suspects(now);
    this->evict(now);
}

bool segment_quarantine::record_loss(segment_state& state, const loss& added,
                                     helpers::time_point now) {
    const auto found =
        std::find_if(state.losses.begin(), state.losses.end(), [&](const loss& each) {
            return each.incarnation_hash == added.incarnation_hash;
        });
    if (found != state.losses.end()) {
        if (found->had_begun || !added.had_begun)
            return false;
        found->had_begun = true;
    } else {
        if (state.losses.size() >= max_losses)
            state.losses.erase(state.losses.begin());
        const auto place =
            std::upper_bound(state.losses.begin(), state.losses.end(), added.at,
                             [](helpers::time_point at, const loss& each) { return at < each.at; });
        state.losses.insert(place, added);
    }
    if (state.is_quarantined)
        this->explained.insert(added.incarnation_hash);
    state.changed_at = now;
    return true;
}

void segment_quarantine::on_under_way(const placement::prompt& prompt, helpers::time_point now) {
    for (const auto& each : shared_segments(prompt))
        if (const auto found = this->segments.find(each.id);
            found != this->segments.end() && !found->second.losses.empty())
            this->clear(each.id, found->second, now);
}

void segment_quarantine::clear(std::uint64_t segment, segment_state& state,
                               helpers::time_point now) {
    if (state.is_quarantined)
        this->transitions.push_back({segment, false, this->moments_of(state)});
    ++state.generation;
    state.is_quarantined = false;
    state.losses.clear();
    state.stated_moments = 0;
    state.trial_at.reset();
    state.cleared_at = now;
    state.changed_at = now;
}

segment_quarantine::weight segment_quarantine::weigh(const segment_state& state,
                                                     bool ignore_explained) const {
    weight result;
    std::optional<helpers::time_point> moment_start;
    std::uint32_t moment_weight = 0;
    for (const auto& each : state.losses) {
        if (ignore_explained && this->explained.contains(each.incarnation_hash))
            continue;
        if (!moment_start || each.at - *moment_start > moment_length) {
            moment_start = each.at;
            moment_weight = 0;
            ++result.moments;
        }
        const auto heaviest =
            std::max(moment_weight, each.had_begun ? begun_weight : waiting_weight);
        result.score += heaviest - std::exchange(moment_weight, heaviest);
    }
    return result;
}

// Quarantines the segment that explains most losses, the deepest of several, until the losses that
// remain blame no other one. So a segment that precedes a harmful one in its prompts is spared.
void segment_quarantine::quarantine_suspects(helpers::time_point now) {
    while (true) {
        auto worst = this->segments.end();
        std::tuple<std::uint32_t, std::uint8_t> most{quarantine_score, 0};
        for (auto each = this->segments.begin(); each != this->segments.end(); ++each) {
            if (each->second.is_quarantined)
                continue;
            const std::tuple rank{this->weigh(each->second, true).score, each->second.depth};
            if (rank < most)
                continue;
            most = rank;
            worst = each;
        }
        if (worst == this->segments.end())
            return;
        this->quarantine(worst->first, worst->second, now);
    }
}

void segment_quarantine::quarantine(std::uint64_t segment, segment_state& state,
                                    helpers::time_point now) {
    state.is_quarantined = true;
    state.quarantined_at = now;
    state.changed_at = now;
    if (this->explained.size() > max_explained)
        this->explained.clear();
    for (const auto& each : state.losses)
        this->explained.insert(each.incarnation_hash);
    this->transitions.push_back({segment, true, this->moments_of(state)});
}

std::size_t segment_quarantine::moments_of(const segment_state& state) const {
    return std::max(state.stated_moments, this->weigh(state, false).moments);
}

segment_evidence segment_quarantine::describe(std::uint64_t segment,
                                              const segment_state& state) const {
    segment_evidence result;
    result.segment = segment;
    result.generation = state.generation;
    result.is_quarantined = state.is_quarantined;
    result.depth = state.depth;
    result.moments = static_cast<std::uint8_t>(std::min(this->moments_of(state), max_losses));
    return result;
}

std::optional<segment_evidence> segment_quarantine::state_of(std::uint64_t segment) const {
    const auto found = this->segments.find(segment);
    if (found == this->segments.end())
        return std::nullopt;
    return this->describe(segment, found->second);
}

std::vector<segment_evidence> segment_quarantine::quarantined() const {
    std::vector<segment_evidence> result;
    for (const auto& [segment, state] : this->segments)
        if (state.is_quarantined)
            result.push_back(this->describe(segment, state));
    return result;
}

segment_quarantine::verdict segment_quarantine::check(const placement::prompt& prompt,
                                                      helpers::time_point now) {
    std::vector<segment_state*> tried;
    for (const auto& each : shared_segments(prompt)) {
        const auto found = this->segments.find(each.id);
        if (found == this->segments.end() || !found->second.is_quarantined)
            continue;
        if (!this->may_try(each.id, found->second, now))
            return verdict::quarantined;
        tried.push_back(&found->second);
    }
    for (auto* state : tried)
        state->trial_at = now;
    return tried.empty() ? verdict::admitted : verdict::trial;
}

bool segment_quarantine::is_quarantined(const placement::prompt& prompt) const {
    const auto shared = shared_segments(prompt);
    return std::any_of(shared.begin(), shared.end(), [this](const auto& each) {
        const auto found = this->segments.find(each.id);
        return found != this->segments.end() && found->second.is_quarantined;
    });
}

bool segment_quarantine::may_try(std::uint64_t segment, const segment_state& state,
                                 helpers::time_point now) const {
    const auto moments = this->moments_of(state);
    const auto steps =
        std::min(moments - std::min(moments, losses_before_first_trial), max_wait_steps);
    auto wait = first_trial_wait;
    for (std::size_t i = 0; i < steps; ++i)
        wait *= trial_wait_factor;
    const auto last_loss = state.losses.empty() ? state.quarantined_at : state.losses.back().at;
    const auto since_wait = now - last_loss - wait;
    if (since_wait < helpers::duration::zero())
        return false;
    if (state.trial_at && now - *state.trial_at < wait)
        return false;
    const auto turn = since_wait / trial_turn;
    const auto own = rank_of(segment, turn, this->self);
    return std::none_of(this->members.begin(), this->members.end(), [&](const std::string& member) {
        return member != this->self && rank_of(segment, turn, member) < own;
    });
}

segment_evidence_list segment_quarantine::evidence(helpers::time_point now) const {
    segment_evidence_list result;
    const auto append = [&](bool is_urgent) {
        for (const auto& [segment, state] : this->segments) {
            const bool always_sent =
                state.is_quarantined || this->weigh(state, true).moments >= always_sent_moments;
            if (always_sent != is_urgent || result.size() >= max_sent_evidence)
                continue;
            if (!always_sent && now - state.changed_at > news_lifetime)
                continue;
            auto common = this->describe(segment, state);
            if (state.losses.empty())
                result.push_back(common);
            const bool is_news = now - state.changed_at <= news_lifetime;
            const auto sent = state.is_quarantined && !is_news ? 1 : max_sent_losses;
            const auto skipped = state.losses.size() - std::min(state.losses.size(), sent);
            for (const auto& each : std::span(state.losses).subspan(skipped)) {
                common.incarnation_hash = each.incarnation_hash;
                common.had_begun = each.had_begun;
                common.age = now - each.at;
                result.push_back(common);
            }
        }
    };
    append(true);
    append(false);
    result.resize(std::min(result.size(), max_sent_evidence));
    return result;
}

void segment_quarantine::merge(std::span<const segment_evidence> received,
                               helpers::time_point now) {
    if (received.empty())
        return;
    bool any_changed = false;
    for (const auto& each : received)
        any_changed |= this->merge_one(each, now);
    if (any_changed)
        this->quarantine_suspects(now);
    this->evict(now);
}

// Returns whether the losses have changed.
bool segment_quarantine::merge_one(const segment_evidence& received, helpers::time_point now) {
    auto& state = this->segments[received.segment];
    const loss stated{received.incarnation_hash, received.had_begun, now - received.age};
    if (received.generation < state.generation) {
        // The sender has started or missed the clearance: it gets the state again. A loss from
        // after the clearance counts all the same.
        state.changed_at = now;
        if (received.incarnation_hash == 0 || !state.cleared_at ||
            stated.at < *state.cleared_at + clearance_margin)
            return false;
        return this->record_loss(state, stated, now);
    }
    if (received.generation > state.generation) {
        this->clear(received.segment, state, now);
        state.generation = received.generation;
    }
    state.depth = std::max(state.depth, received.depth);
    state.stated_moments = std::max<std::size_t>(state.stated_moments, received.moments);
    const bool changed = received.incarnation_hash != 0 && this->record_loss(state, stated, now);
    if (received.is_quarantined && !state.is_quarantined)
        this->quarantine(received.segment, state, now);
    return changed;
}

void segment_quarantine::evict(helpers::time_point now) {
    std::erase_if(this->segments, [now](const auto& entry) {
        return now - entry.second.changed_at > lifetime_of(entry.second.is_quarantined);
    });
    while (this->segments.size() > max_segments) {
        const auto oldest = std::min_element(
            this->segments.begin(), this->segments.end(), [](const auto& a, const auto& b) {
                return std::tuple(a.second.is_quarantined, a.second.changed_at) <
                       std::tuple(b.second.is_quarantined, b.second.changed_at);
            });
        this->segments.erase(oldest);
    }
}

std::vector<segment_quarantine::transition> segment_quarantine::take_transitions() {
    return std::exchange(this->transitions, {});
}

std::size_t segment_quarantine::quarantined_count() const {
    return static_cast<std::size_t>(
        std::count_if(this->segments.begin(), this->segments.end(),
                      [](const auto& entry) { return entry.second.is_quarantined; }));
}

} // namespace samphirespool::admission
