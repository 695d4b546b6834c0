// The services that a request passes through: the server for callers, queue and limits, target
// health and the retry budget. The services that grant reservations and claims are passed in.
#pragma once

#include "http/h2o_client.hpp"
#include "kernel/event.hpp"
#include "router/caller_server.hpp"
#include "router/fleet_view.hpp"
#include "settings/router_settings.hpp"

namespace samphirespool::router {

class request_path {
public:
    request_path(http::event_loop& loop, const settings::router_settings& settings,
                 const router_identity& self, fleet_view& fleet,
                 admission::reservation_service& reservations, claims::claim_service& claims,
                 http::client& targets, kernel::event_sink& events, http::caller_memory& memory);

    request_queue& queue() { return this->requests; }
    const request_queue& queue() const { return this->requests; }
    caller_server& server() { return this->caller_side; }
    const caller_server& server() const { return this->caller_side; }

private:
    void apply_preset();

    fleet_view& fleet;
    request_queue requests;
    target_health health;
    request::retry_budget retries;
    caller_server caller_side;
};

} // namespace samphirespool::router
