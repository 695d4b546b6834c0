// One router of a fleet: constructs its services, starts them and shuts them down.
#pragma once

#include "admin/admin_server.hpp"
#include "claims/claim_manager.hpp"
#include "http/caller_memory.hpp"
#include "router/daemon.hpp"
#include "router/fleet_status.hpp"
#include "router/limit_service.hpp"
#include "router/member_directory.hpp"
#include "router/request_path.hpp"
#include "router/share_service.hpp"
#include "store/configuration_store.hpp"
#include "store/http_object_store.hpp"
#include "store/journal_store.hpp"
#include "store/monitored_store.hpp"
#include "wire/claims_link.hpp"
#include "wire/configuration_link.hpp"
#include "wire/tcp_transport.hpp"

namespace samphirespool::router {

class router final : public daemon {
public:
    // Returns null, with the reason, if an address or a key cannot be used.
    static std::unique_ptr<router> open(http::event_loop& loop, kernel::hybrid_clock& order,
                                        const settings::router_settings& settings,
                                        kernel::event_sink& events, kernel::error& reason);
    ~router() override;

    daemon_ports ports() const override;
    void shut_down(kernel::task done) override;
    void reload_keys() override;

private:
    router(http::event_loop& loop, kernel::hybrid_clock& order,
           const settings::router_settings& settings, kernel::event_sink& events,
           std::vector<wire::bytes> keys);

    // Services that need the peer address, which is known only once the transport listens.
    struct fleet_services;

    void tick();
    // Waits until other routers have taken over this router's shares and grants, up to a time
    // limit.
    void hand_over();
    void finish_shutdown();
    bool is_ready() const;

    http::event_loop& loop;
    const settings::router_settings& settings;
    kernel::event_sink& events;
    router_identity identity;
    kernel::random_source random;
    debug::metrics metrics;
    wire::tcp_transport transport;
    http::h2o_client store_client;
    http::h2o_client target_client;
    store::http_object_store http_store;
    store::monitored_store store;
    http::caller_memory memory;
    std::unique_ptr<fleet_services> fleet;
    kernel::timer_id timer = 0;
    // Set once the shutdown has begun.
    kernel::task shutdown_handler;
    helpers::time_point hand_over_deadline{};
};

} // namespace samphirespool::router
