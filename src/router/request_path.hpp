// The way of requests through one router: queue, limits, target health, retries, and the listener
// for callers. Who grants reservations and claims is given.
#pragma once

#include "http/h2o_client.hpp"
#include "kernel/event.hpp"
#include "router/caller_front.hpp"
#include "router/fleet_view.hpp"
#include "settings/router_settings.hpp"

namespace samphirespool::router {

class request_path {
public:
    request_path(http::event_loop& loop, const settings::router_settings& settings,
                 const router_identity& self, fleet_view& fleet,
                 admission::reservation_service& reservations, claims::claim_service& claims,
                 http::client& targets, kernel::event_sink& events);

    turn_queue& waiting() { return this->turns; }
    const turn_queue& waiting() const { return this->turns; }
    caller_front& front() { return this->callers; }
    const caller_front& front() const { return this->callers; }

private:
    void apply_preset();

    fleet_view& fleet;
    turn_queue turns;
    target_health health;
    request::retry_budget retries;
    caller_front callers;
};

} // namespace samphirespool::router
