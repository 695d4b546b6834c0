// One router: the composition of its managers.
#pragma once

#include "http/event_loop.hpp"
#include "http/h2o_client.hpp"
#include "kernel/event.hpp"
#include "kernel/random.hpp"
#include "router/caller_front.hpp"
#include "router/fleet_view.hpp"
#include "router/local_claims.hpp"
#include "router/local_limit_owner.hpp"
#include "router/local_reservation.hpp"
#include "settings/router_settings.hpp"

namespace samphirespool::router {

class router {
public:
    router(http::event_loop& loop, const settings::router_settings& settings,
           config::configuration_service& configuration, kernel::event_sink& events);

    bool start(kernel::error& reason) { return this->callers.listen(reason); }
    void leave(kernel::task done) { this->callers.leave(std::move(done)); }
    caller_front& front() { return this->callers; }

private:
    request_context make_context(kernel::event_sink& events);
    void apply_preset();

    http::event_loop& loop;
    const settings::router_settings& settings;
    kernel::random_source random;
    fleet_view fleet;
    local_reservation reservations;
    local_claims claims;
    turn_queue turns;
    local_limit_owner limit_owner;
    target_health health;
    request::retry_budget retries;
    http::h2o_client targets;
    caller_front callers;
};

} // namespace samphirespool::router
