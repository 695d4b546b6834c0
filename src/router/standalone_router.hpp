// A single router with a fixed configuration and list of VMs: no platform, no peers, no
// administration API. Reservations, claims and limits are kept in this process.
#pragma once

#include "http/caller_memory.hpp"
#include "http/event_loop.hpp"
#include "kernel/random.hpp"
#include "router/daemon.hpp"
#include "router/local_claims.hpp"
#include "router/local_limit_owner.hpp"
#include "router/local_reservations.hpp"
#include "router/request_path.hpp"

namespace samphirespool::router {

class standalone_router final : public daemon {
public:
    standalone_router(http::event_loop& loop, const settings::router_settings& settings,
                      config::configuration_service& configuration, kernel::event_sink& events);

    // Returns false, with the reason, if the address or the TLS keys cannot be used.
    bool start(kernel::error& reason) { return this->path.server().listen(reason); }
    daemon_ports ports() const override { return {this->path.server().port(), 0, 0}; }
    void shut_down(kernel::task done) override { this->path.server().shut_down(std::move(done)); }
    void reload_keys() override { this->path.server().reload_keys(); }
    caller_server& server() { return this->path.server(); }

private:
    kernel::random_source random;
    http::h2o_client targets;
    fleet_view fleet;
    local_reservations reservations;
    local_claims claims;
    http::caller_memory memory;
    request_path path;
    local_limit_owner limit_owner;
};

} // namespace samphirespool::router
