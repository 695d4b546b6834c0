// Evidence against suspects, its exchange, and the trials of quarantined suspects.
#include "admission/crash_quarantine.hpp"

#include "admission/member_rank.hpp"
#include "helpers/hex.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace samphirespool::admission {

namespace {

// A request whose response had begun is a likelier cause of the loss than one that still waited or
// whose prompt was still being processed.
constexpr std::uint32_t begun_weight = 2;
constexpr std::uint32_t waiting_weight = 1;
// Of a segment: three losses at the start of a response, or five before it, without any request
// that got further. Of a request, which sound ones do not share: three losses at any time.
constexpr std::uint32_t quarantine_score = 5;
constexpr std::size_t request_losses = 3;
// Targets that are lost within this time count once: a rack, a data centre or a gateway's own
// connections can fail as a whole.
constexpr helpers::duration moment_length = std::chrono::milliseconds(50);
// Of a request: its retry can crash the next target sooner than that.
constexpr helpers::duration request_moment_length = std::chrono::milliseconds(5);
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
// Wait after the latest loss before the first trial; each failed trial multiplies it.
constexpr helpers::duration first_trial_wait = std::chrono::seconds(6);
constexpr std::int64_t trial_wait_factor = 5;
constexpr std::uint8_t max_failed_trials = 3;
// Ages of exchanged losses are uncertain by this much.
constexpr helpers::duration clearance_margin = std::chrono::milliseconds(300);
// Gateways take turns of this length, in which the loss that a trial causes reaches all of them.
constexpr helpers::duration trial_turn = std::chrono::seconds(2);

// A quarantined request is verified by a trial before it is rejected, since it may have been in
// progress at several lost targets by coincidence; by two if other targets were lost without it.
// The losses of one moment reach all gateways first.
constexpr std::uint8_t verification_trials = 1;
constexpr std::uint8_t verification_trials_among_others = 2;
constexpr helpers::duration verification_delay = std::chrono::milliseconds(200);
constexpr helpers::duration verification_turn = std::chrono::milliseconds(500);
// If the trial has no result, because it was not sent or its caller left.
constexpr helpers::duration verification_repeat = std::chrono::seconds(1);
// Fraction (1/n) of the gateways that may verify in one turn: few have the request at hand.
constexpr std::size_t verification_share = 8;

bool is_request(std::uint8_t depth) {
    return depth == request_depth;
}

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

crash_quarantine::weight crash_quarantine::weigh(const suspect_state& state,
                                                 const std::vector<loss>& losses) {
    weight result;
    const auto length = is_request(state.depth) ? request_moment_length : moment_length;
    std::optional<helpers::time_point> moment_start;
    std::uint32_t moment_weight = 0;
    for (const auto& each : losses) {
        if (!moment_start || each.at - *moment_start > length) {
            moment_start = each.at;
            moment_weight = 0;
            ++result.moments;
        }
        const bool is_heavy = each.had_begun || is_request(state.depth);
        const auto heaviest = std::max(moment_weight, is_heavy ? begun_weight : waiting_weight);
        result.score += heaviest - std::exchange(moment_weight, heaviest);
    }
    return result;
}

// A quarantined suspect explains losses of the suspects that precede it, and of those that were
// there at fewer losses.
std::vector<crash_quarantine::loss>
crash_quarantine::unexplained_losses(const suspect_state& state) const {
    auto result = state.losses;
    for (const auto& [id, other] : this->suspects) {
        if (!other.is_quarantined)
            continue;
        if (other.depth <= state.depth && other.losses.size() < state.losses.size())
            continue;
        if (is_request(other.depth) && !covers(other, state, state.losses))
            continue;
        std::erase_if(result, [&other = other](const loss& each) {
            return has_loss(other.losses, each.incarnation_hash);
        });
    }
    return result;
}

// Quarantines the suspect that explains most losses, the deepest of several, until the losses that
// remain blame no other one.
void crash_quarantine::quarantine_suspects(helpers::time_point now) {
    for (auto suspect = this->find_suspect(); suspect != this->suspects.end();
         suspect = this->find_suspect())
        this->quarantine(suspect->first, suspect->second, now);
    this->release_explained(now);
}

// Releases suspects that were quarantined with a deeper one, or with another request, which was
// there at all of their losses and has failed a trial since.
void crash_quarantine::release_explained(helpers::time_point now) {
    for (auto& [id, state] : this->suspects) {
        if (!state.is_quarantined || state.losses.empty() || state.failed_trials > 0)
            continue;
        const auto explains = [&state = state](const auto& entry) {
            const auto& other = entry.second;
            const bool may_explain = other.depth > state.depth || is_request(other.depth);
            return may_explain && other.is_quarantined && other.failed_trials > 0 &&
                   std::all_of(state.losses.begin(), state.losses.end(), [&](const loss& each) {
                       return has_loss(other.losses, each.incarnation_hash);
                   });
        };
        if (std::any_of(this->suspects.begin(), this->suspects.end(), explains))
            this->clear(id, state, now);
    }
}

bool crash_quarantine::has_loss(const std::vector<loss>& losses, std::uint32_t incarnation_hash) {
    return std::any_of(losses.begin(), losses.end(), [incarnation_hash](const loss& each) {
        return each.incarnation_hash == incarnation_hash;
    });
}

// The retries of a request with a harmful segment are lost too, so a request must have been there
// at nearly all losses of a segment to be the cause of them.
bool crash_quarantine::covers(const suspect_state& cause, const suspect_state& suspect,
                              const std::vector<loss>& losses) {
    const auto common = static_cast<std::size_t>(
        std::count_if(losses.begin(), losses.end(), [&cause](const loss& each) {
            return has_loss(cause.losses, each.incarnation_hash);
        }));
    if (is_request(cause.depth) && !is_request(suspect.depth))
        return 4 * common >= 3 * losses.size();
    return 2 * common > losses.size();
}

crash_quarantine::suspect_map::iterator crash_quarantine::find_suspect() {
    auto worst = this->suspects.end();
    std::tuple<std::uint32_t, std::uint8_t> most{quarantine_score, 0};
    for (auto each = this->suspects.begin(); each != this->suspects.end(); ++each) {
        const auto& state = each->second;
        if (state.is_quarantined || weigh(state, state.losses).score < quarantine_score)
            continue;
        if (is_request(state.depth) && weigh(state, state.losses).moments <= request_losses &&
            this->has_losses_without(state))
            continue;
        const auto unexplained = this->unexplained_losses(state);
        const std::tuple rank{weigh(state, unexplained).score, state.depth};
        if (rank < most || this->has_likelier_suspect(state, unexplained))
            continue;
        most = rank;
        worst = each;
    }
    return worst;
}

// Whether another suspect was there at most of the losses and is the likelier cause. A harmful
// segment is followed by different ones, so a deeper suspect comes before one that precedes it. Of
// suspects at the same depth, the one with more losses does.
bool crash_quarantine::has_likelier_suspect(const suspect_state& suspect,
                                            const std::vector<loss>& unexplained) const {
    return std::any_of(this->suspects.begin(), this->suspects.end(), [&](const auto& entry) {
        const auto& other = entry.second;
        const bool is_likelier =
            other.depth > suspect.depth ||
            (other.depth == suspect.depth && other.losses.size() > suspect.losses.size());
        if (other.is_quarantined || !is_likelier)
            return false;
        return covers(other, suspect, unexplained);
    });
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

crash_quarantine::decision crash_quarantine::check(std::span<const suspect> request,
                                                   helpers::time_point now) {
    if (!this->is_quarantined(request))
        return {};
    suspect_state* tried = nullptr;
    std::optional<suspect> cause;
    for (const auto& each : request) {
        const auto found = this->suspects.find(each.id);
        if (found == this->suspects.end())
            continue;
        auto& state = found->second;
        // A deeper suspect that has lost targets would confuse the result.
        if (tried != nullptr && !state.losses.empty())
            return {verdict::quarantined, cause};
        if (!state.is_quarantined)
            continue;
        const bool is_unverified = this->is_unverified(state);
        if (is_unverified && !this->may_verify(each.id, state, now))
            return {verdict::held, each};
        if (!is_unverified && !this->may_try(each.id, state, now))
            return {verdict::quarantined, each};
        tried = &state;
        cause = each;
    }
    tried->trial_at = now;
    return {verdict::trial, cause};
}

bool crash_quarantine::is_quarantined(std::span<const suspect> request) const {
    return std::any_of(request.begin(), request.end(), [this](const auto& each) {
        const auto found = this->suspects.find(each.id);
        return found != this->suspects.end() && found->second.is_quarantined;
    });
}

helpers::time_point crash_quarantine::last_loss(const suspect_state& state) {
    return state.losses.empty() ? state.quarantined_at : state.losses.back().at;
}

bool crash_quarantine::may_try(std::uint64_t id, const suspect_state& state,
                               helpers::time_point now) const {
    auto wait = first_trial_wait;
    for (std::uint8_t i = 0; i < state.failed_trials; ++i)
        wait *= trial_wait_factor;
    const auto since_wait = now - last_loss(state) - wait;
    if (since_wait < helpers::duration::zero())
        return false;
    if (state.trial_at && now - *state.trial_at < wait)
        return false;
    return this->rank_in_turn(id, since_wait / trial_turn) == 0;
}

// Several gateways may try a request at once: all losses beyond those that it was blamed for count
// as failed trials, once one has failed.
void crash_quarantine::count_parallel_trials(suspect_state& state) {
    if (!is_request(state.depth) || state.failed_trials == 0 ||
        state.losses.size() <= request_losses)
        return;
    const auto lost =
        std::min<std::size_t>(state.losses.size() - request_losses, max_failed_trials);
    state.failed_trials = std::max(state.failed_trials, static_cast<std::uint8_t>(lost));
}

bool crash_quarantine::is_unverified(const suspect_state& state) const {
    if (!is_request(state.depth) || state.failed_trials >= verification_trials_among_others)
        return false;
    return state.failed_trials < verification_trials || this->has_losses_without(state);
}

// Whether targets were lost without a request of the suspect since it first lost one.
bool crash_quarantine::has_losses_without(const suspect_state& state) const {
    return std::any_of(this->suspects.begin(), this->suspects.end(), [&state](const auto& entry) {
        const auto& others = entry.second.losses;
        return std::any_of(others.begin(), others.end(), [&state](const loss& each) {
            return !state.losses.empty() && each.at >= state.losses.front().at &&
                   !has_loss(state.losses, each.incarnation_hash);
        });
    });
}

bool crash_quarantine::may_verify(std::uint64_t id, const suspect_state& state,
                                  helpers::time_point now) const {
    const auto since_loss = now - last_loss(state);
    if (since_loss < verification_delay)
        return false;
    if (state.trial_at && now - *state.trial_at < verification_repeat)
        return false;
    // The gateways of a turn start one after the other in its first half, and the losses that they
    // cause spread in the second one.
    const auto rank = this->rank_in_turn(id, since_loss / verification_turn);
    const auto in_turn = std::max<std::size_t>(1, this->members.size() / verification_share);
    const auto start = verification_turn / 2 * static_cast<std::int64_t>(rank) /
                       static_cast<std::int64_t>(in_turn);
    const auto since_start = since_loss % verification_turn - start;
    return rank < in_turn && since_start >= helpers::duration::zero() &&
           since_start <= verification_turn / 2;
}

std::size_t crash_quarantine::rank_in_turn(std::uint64_t id, std::int64_t turn) const {
    return rank_among(this->members, this->self, helpers::to_hex(id) + "/" + std::to_string(turn));
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
