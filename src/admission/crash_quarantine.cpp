// Evidence against suspects and its exchange. Which suspect is blamed, and the trials of
// quarantined ones, are in crash_quarantine_blame.cpp and crash_quarantine_trials.cpp.
#include "admission/crash_quarantine.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace samphirespool::admission {

namespace {

constexpr std::size_t max_losses = 16;
// Of one suspect. Receivers need only the latest of a quarantined suspect that is no news.
constexpr std::size_t max_sent_losses = 6;
constexpr std::size_t max_suspects = 512;
// Evidence is forgotten after this time without a change.
constexpr helpers::duration evidence_lifetime = std::chrono::minutes(10);
constexpr helpers::duration quarantine_lifetime = std::chrono::hours(1);
// Changes are sent for this long, which covers several reports to each peer.
constexpr helpers::duration news_lifetime = std::chrono::seconds(2);
// Suspects that lost targets at this many moments are always sent, also to gateways that join.
constexpr std::size_t always_sent_moments = 2;
// Ages of exchanged losses are uncertain by this much.
constexpr helpers::duration clearance_margin = std::chrono::milliseconds(300);
helpers::duration lifetime_of(bool is_quarantined) {
    return is_quarantined ? quarantine_lifetime : evidence_lifetime;
}

} // namespace

suspect_list suspects_of(const placement::prompt& prompt, std::uint64_t request_digest) {
    suspect_list result;
    result.reserve(prompt.segments.size() + 1);
    for (std::size_t i = 0; i + 1 < prompt.segments.size(); ++i)
        result.push_back({prompt.segments[i].id,
                          static_cast<std::uint8_t>(std::min<std::size_t>(i, request_depth - 1))});
    result.push_back({request_digest, request_depth});
    return result;
}

void crash_quarantine::on_target_lost(std::span<const suspect> request,
                                      std::uint32_t incarnation_hash, bool had_begun,
                                      verdict admitted_as, helpers::time_point now) {
    for (const auto& each : request) {
        auto& state = this->suspects[each.id];
        if (admitted_as == verdict::trial && state.is_quarantined &&
            state.failed_trials < max_failed_trials)
            ++state.failed_trials;
        state.depth = std::max(state.depth, each.depth);
        this->record_loss(state, {incarnation_hash, had_begun, now}, now);
        count_parallel_trials(state);
    }
    this->quarantine_suspects(now);
    this->evict(now);
}

bool crash_quarantine::record_loss(suspect_state& state, const loss& added,
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
        if (state.losses.size() >= max_losses) {
            if (added.at <= state.losses.front().at)
                return false;
            state.losses.erase(state.losses.begin());
        }
        const auto place =
            std::upper_bound(state.losses.begin(), state.losses.end(), added.at,
                             [](helpers::time_point at, const loss& each) { return at < each.at; });
        state.losses.insert(place, added);
    }
    state.changed_at = now;
    return true;
}

void crash_quarantine::on_under_way(std::span<const suspect> request, helpers::time_point now) {
    for (const auto& each : request)
        if (const auto found = this->suspects.find(each.id);
            found != this->suspects.end() &&
            (found->second.is_quarantined || !found->second.losses.empty()))
            this->clear(each.id, found->second, now);
}

void crash_quarantine::clear(std::uint64_t id, suspect_state& state, helpers::time_point now) {
    const auto moments = weigh(state, state.losses).moments;
    ++state.generation;
    state.losses.clear();
    state.failed_trials = 0;
    state.trial_at.reset();
    state.cleared_at = now;
    state.changed_at = now;
    if (!std::exchange(state.is_quarantined, false))
        return;
    this->transitions.push_back({{id, state.depth}, false, moments});
    this->quarantine_suspects(now);
}

void crash_quarantine::quarantine(std::uint64_t id, suspect_state& state, helpers::time_point now) {
    state.is_quarantined = true;
    state.quarantined_at = now;
    state.changed_at = now;
    this->transitions.push_back({{id, state.depth}, true, weigh(state, state.losses).moments});
}

crash_evidence crash_quarantine::describe(std::uint64_t id, const suspect_state& state) {
    crash_evidence result;
    result.suspect = id;
    result.generation = state.generation;
    result.is_quarantined = state.is_quarantined;
    result.depth = state.depth;
    result.failed_trials = state.failed_trials;
    return result;
}

std::optional<crash_evidence> crash_quarantine::state_of(std::uint64_t id) const {
    const auto found = this->suspects.find(id);
    if (found == this->suspects.end())
        return std::nullopt;
    return describe(id, found->second);
}

std::vector<crash_evidence> crash_quarantine::quarantined() const {
    std::vector<crash_evidence> result;
    for (const auto& [id, state] : this->suspects)
        if (state.is_quarantined)
            result.push_back(describe(id, state));
    return result;
}

crash_evidence_list crash_quarantine::evidence(helpers::time_point now) const {
    // Quarantined suspects first, then those under the strongest suspicion.
    using rank = std::tuple<bool, std::uint32_t, helpers::time_point>;
    std::vector<std::pair<rank, suspect_map::const_iterator>> sent;
    for (auto each = this->suspects.begin(); each != this->suspects.end(); ++each) {
        const auto& state = each->second;
        const auto losses = weigh(state, state.losses);
        const bool is_news = now - state.changed_at <= news_lifetime;
        if (state.is_quarantined || is_news || losses.moments >= always_sent_moments)
            sent.push_back({{state.is_quarantined, losses.score, state.changed_at}, each});
    }
    std::sort(sent.begin(), sent.end(),
              [](const auto& a, const auto& b) { return a.first > b.first; });
    crash_evidence_list result;
    for (const auto& [order, each] : sent) {
        if (result.size() >= max_sent_evidence)
            break;
        this->append_evidence(each->first, each->second, now, result);
    }
    result.resize(std::min(result.size(), max_sent_evidence));
    return result;
}

void crash_quarantine::append_evidence(std::uint64_t id, const suspect_state& state,
                                       helpers::time_point now, crash_evidence_list& into) {
    auto entry = describe(id, state);
    if (state.losses.empty())
        into.push_back(entry);
    const bool is_news = now - state.changed_at <= news_lifetime;
    const auto sent = state.is_quarantined && !is_news ? 1 : max_sent_losses;
    const auto skipped = state.losses.size() - std::min(state.losses.size(), sent);
    for (const auto& each : std::span(state.losses).subspan(skipped)) {
        entry.incarnation_hash = each.incarnation_hash;
        entry.had_begun = each.had_begun;
        entry.age = now - each.at;
        into.push_back(entry);
    }
}

void crash_quarantine::merge(std::span<const crash_evidence> received, helpers::time_point now) {
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
bool crash_quarantine::merge_one(const crash_evidence& received, helpers::time_point now) {
    auto& state = this->suspects[received.suspect];
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
        this->clear(received.suspect, state, now);
        state.generation = received.generation;
    }
    state.depth = std::max(state.depth, received.depth);
    state.failed_trials = std::max(state.failed_trials, received.failed_trials);
    const bool changed = received.incarnation_hash != 0 && this->record_loss(state, stated, now);
    count_parallel_trials(state);
    if (received.is_quarantined && !state.is_quarantined)
        this->quarantine(received.suspect, state, now);
    return changed;
}

// The lost targets of one moment leave many suspects, most of which are never seen again.
std::tuple<bool, bool, helpers::time_point>
crash_quarantine::keeping_rank(const suspect_state& state) {
    return {state.is_quarantined, state.losses.size() > 1, state.changed_at};
}

void crash_quarantine::evict(helpers::time_point now) {
    std::erase_if(this->suspects, [now](const auto& entry) {
        return now - entry.second.changed_at > lifetime_of(entry.second.is_quarantined);
    });
    while (this->suspects.size() > max_suspects) {
        const auto oldest = std::min_element(
            this->suspects.begin(), this->suspects.end(), [](const auto& a, const auto& b) {
                return keeping_rank(a.second) < keeping_rank(b.second);
            });
        this->suspects.erase(oldest);
    }
}

std::vector<crash_quarantine::transition> crash_quarantine::take_transitions() {
    return std::exchange(this->transitions, {});
}

std::size_t crash_quarantine::quarantined_segments() const {
    return this->count_quarantined(false);
}

std::size_t crash_quarantine::quarantined_requests() const {
    return this->count_quarantined(true);
}

std::size_t crash_quarantine::count_quarantined(bool requests) const {
    return static_cast<std::size_t>(
        std::count_if(this->suspects.begin(), this->suspects.end(), [requests](const auto& entry) {
            return entry.second.is_quarantined && is_request(entry.second.depth) == requests;
        }));
}

} // namespace samphirespool::admission
