// Decides whether a request may be sent, and the trials of quarantined suspects.
#include "admission/crash_quarantine.hpp"

#include "admission/member_rank.hpp"
#include "helpers/hex.hpp"

#include <algorithm>

namespace samphirespool::admission {

namespace {

// Wait after the latest loss before the first trial; each failed trial multiplies it.
constexpr helpers::duration first_trial_wait = std::chrono::seconds(6);
constexpr std::int64_t trial_wait_factor = 5;
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

} // namespace

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

} // namespace samphirespool::admission
