// Times of one attempt, and its outcome.
#include "gateway/rollout_attempt.hpp"

#include <utility>

namespace samphirespool::gateway {

namespace {

// A stream is counted at this event; see rollout::outcome_part.
constexpr std::uint32_t progress_events = 4;

} // namespace

bool rollout_attempt::begin(const discovery::tracked_target& to, rollout::side side,
                            bool continues_stream, rollout::route_key on_route,
                            bool is_first_attempt, helpers::time_point now) {
    if (this->control == nullptr)
        return true;
    const bool may_send = continues_stream ? this->control->may_continue(to, now)
                                           : this->control->is_allowed(to, side, now);
    if (!may_send)
        return false;
    this->is_open = true;
    this->service = to.registration.service;
    this->route = on_route;
    this->software = to.software_hash;
    this->target = to.incarnation_hash;
    this->is_cold = now < to.cold_until || now - to.added_at < rollout::outcome::warm_up_time;
    this->sent_at = now;
    this->events = 0;
    this->has_progress = false;
    this->control->on_sent(this->service, this->route, this->software, is_first_attempt, now);
    return true;
}

void rollout_attempt::on_events(std::uint64_t count, helpers::time_point now) {
    if (!this->is_open || count == 0)
        return;
    if (this->events == 0)
        this->first_event_at = now;
    this->last_event_at = now;
    this->events += static_cast<std::uint32_t>(count);
    if (this->events >= progress_events && !std::exchange(this->has_progress, true))
        this->record(rollout::outcome_part::progress, false, now);
}

void rollout_attempt::end(bool is_failure, helpers::time_point now) {
    if (!this->is_open)
        return;
    this->is_open = false;
    this->record(this->has_progress ? rollout::outcome_part::end : rollout::outcome_part::whole,
                 is_failure, now);
}

void rollout_attempt::record(rollout::outcome_part part, bool is_failure,
                             helpers::time_point now) const {
    rollout::outcome result;
    result.part = part;
    result.is_failure = is_failure;
    result.is_cold = this->is_cold;
    result.total = now - this->sent_at;
    result.events = this->events;
    result.between_events = this->last_event_at - this->first_event_at;
    this->control->record(this->service, this->route, this->software, this->target, result);
}

} // namespace samphirespool::gateway
