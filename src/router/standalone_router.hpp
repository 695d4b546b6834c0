// A router by itself, with a fixed configuration and list of targets: no platform, no peers, no
// administration. Reservations, claims and limits are those of this one process.
#pragma once

#include "http/event_loop.hpp"
#include "kernel/random.hpp"
#include "router/daemon.hpp"
#include "router/local_claims.hpp"
#include "router/local_limit_owner.hpp"
#include "router/local_reservation.hpp"
#include "router/request_path.hpp"

namespace samphirespool::router {

class standalone_router final : public daemon {
public:
    standalone_router(http::event_loop& loop, const settings::router_settings& settings,
                      config::configuration_service& configuration, kernel::event_sink& events);

    bool start(kernel::error& reason) { return this->path.front().listen(reason); }
    daemon_ports ports() const override { return {this->path.front().port(), 0, 0}; }
    void shut_down(kernel::task done) override { this->path.front().leave(std::move(done)); }
    void reload_keys() override { this->path.front().reload_keys(); }
    caller_front& front() { return this->path.front(); }

private:
    kernel::random_source random;
    http::h2o_client targets;
    fleet_view fleet;
    local_reservation reservations;
    local_claims claims;
    request_path path;
    local_limit_owner limit_owner;
};

} // namespace samphirespool::router
