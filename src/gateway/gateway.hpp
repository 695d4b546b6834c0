// One gateway process: servers for callers, readiness checks and metrics, the requests in progress,
// and the graceful shutdown.
#pragma once

#include "debug/json_log.hpp"
#include "debug/metrics.hpp"
#include "gateway/caller_intake.hpp"
#include "gateway/crash_guard.hpp"
#include "gateway/fleet_state.hpp"
#include "gateway/path_prober.hpp"
#include "gateway/proxied_request.hpp"
#include "gateway/quarantine_registry.hpp"
#include "gateway/rollout_control.hpp"
#include "gateway/startup_queue.hpp"
#include "gateway/stream_archive.hpp"
#include "http/caller_memory.hpp"
#include "http/descriptor_shares.hpp"
#include "http/h2o_client.hpp"
#include "http/h2o_server.hpp"
#include "settings/gateway_settings.hpp"
#include "wire/exchange_transport.hpp"
#include "wire/tcp_transport.hpp"

#include <memory>
#include <unordered_map>

namespace samphirespool::gateway {

class gateway {
public:
    gateway(http::event_loop& loop, kernel::hybrid_clock& hybrid_time,
            const settings::gateway_settings& settings, std::vector<wire::bytes> keys,
            kernel::event_sink& events, discovery::feed_source& feeds, const object_codec& codec,
            const header_names& names, http::caller_memory& memory);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    // Returns false and sets `reason` if a listen address cannot be bound.
    bool start(kernel::error& reason);

    // Fails the readiness check from now on, lets requests in progress finish for at most the grace
    // period of the settings, and then calls `finished`.
    void shut_down(kernel::task finished);

    std::uint16_t caller_port() const { return this->caller_server->port(); }
    std::uint16_t ready_port() const { return this->readiness_server->port(); }
    std::uint16_t relay_port() const { return this->relay_server->port(); }
    std::uint16_t metrics_port() const { return this->metrics_server->port(); }
    debug::metrics& metrics() { return this->metric_registry; }

private:
    bool is_ready() const { return !this->shutdown.has_begun() && this->fleet.is_initialized(); }
    void accept(std::unique_ptr<http::exchange> incoming, helpers::time_point arrived);
    // A request that another gateway passes on.
    void accept_relayed(std::unique_ptr<http::exchange> incoming);
    void start_request(std::unique_ptr<http::exchange> incoming, helpers::time_point arrived,
                       std::optional<relay_ticket> ticket);
    // A server of the process; returns null and sets `reason` if the address cannot be bound.
    std::unique_ptr<http::h2o_server> listen(const helpers::endpoint& address,
                                             http::intake_policy& policy,
                                             std::size_t max_connections,
                                             http::exchange_handler handler, kernel::error& reason);
    void reject_while_shutting_down(http::exchange& incoming);
    void respond_to_readiness_check(http::exchange& incoming) const;
    void register_metrics();
    void register_gauges();
    void register_intake_metrics();
    void start_rollouts();
    void respond_with_metrics(http::exchange& incoming) const;
    void check_shutdown();
    void finish_shutdown();

    http::event_loop& loop;
    settings::gateway_settings settings;
    kernel::event_sink& events;
    header_names names;
    kernel::random_source random;
    debug::metrics metric_registry;
    http::h2o_client target_client;
    discovery::target_catalog catalog;
    dispatcher dispatch;
    crash_guard crashes;
    // Null if rollouts are not active.
    std::unique_ptr<rollout_control> rollouts;
    exchange::stream_origins stream_origins;
    path_prober prober;
    relay_peers peers;
    relay_signer relay_tickets;
    wire::tcp_transport transport;
    wire::exchange_transport peer_link;
    fleet_state fleet;
    exchange::exchange_node load_exchange;
    quarantine_registry quarantines;
    stream_archive archive;
    gateway_counters counters;
    latency_recorders latencies;
    shutdown_window shutdown;
    admission::stream_pace stream_paces;
    http::caller_memory& memory;
    http::descriptor_shares descriptors;
    caller_intake callers;
    relay_intake relays;
    http::logged_policy readiness_checks;
    http::logged_policy metrics_reads;
    request_services services;
    std::unique_ptr<http::h2o_server> caller_server;
    std::unique_ptr<http::h2o_server> relay_server;
    std::unique_ptr<http::h2o_server> readiness_server;
    std::unique_ptr<http::h2o_server> metrics_server;
    std::unordered_map<std::uint64_t, std::unique_ptr<proxied_request>> requests;
    startup_queue startup_requests;
    std::uint64_t last_sequence = 0;
    kernel::task shutdown_handler;
    kernel::timer_id shutdown_timer = 0;
};

} // namespace samphirespool::gateway
