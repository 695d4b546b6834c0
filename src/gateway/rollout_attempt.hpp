// What one attempt at a target contributes to the evidence of a rollout: whether it may be sent,
// when it was sent, how its events arrived, and how it ended.
#pragma once

#include "gateway/rollout_control.hpp"

namespace samphirespool::gateway {

class rollout_attempt {
public:
    // `control` is null if rollouts are not active; nothing is recorded then.
    explicit rollout_attempt(rollout_control* control) : control(control) {}

    // A connection to the target is open. Returns whether the request may be sent there now, which
    // may have changed since the target was chosen; if so, it counts as sent.
    bool begin(const discovery::tracked_target& target, rollout::side side, bool continues_stream,
               rollout::route_key route, bool is_first_attempt, helpers::time_point now);
    void on_events(std::uint64_t count, helpers::time_point now);
    // No effect before begin() or after the first end.
    void end(bool is_failure, helpers::time_point now);
    // The result says nothing about the target's version.
    void discard() { this->is_open = false; }

private:
    void record(rollout::outcome_part part, bool is_failure, helpers::time_point now) const;

    rollout_control* control;
    bool is_open = false;
    helpers::service_id service;
    rollout::route_key route = 0;
    rollout::software_key software = 0;
    rollout::target_key target = 0;
    bool is_cold = false;
    helpers::time_point sent_at{};
    helpers::time_point first_event_at{};
    helpers::time_point last_event_at{};
    std::uint32_t events = 0;
    // The answer was counted while its stream goes on.
    bool has_progress = false;
};

} // namespace samphirespool::gateway
