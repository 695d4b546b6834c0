// One gateway: listeners for callers, readiness and metrics, the requests in progress, and the
// graceful end.
#pragma once

#include "debug/json_log.hpp"
#include "debug/metrics.hpp"
#include "gateway/fleet_state.hpp"
#include "gateway/proxied_request.hpp"
#include "gateway/start_queue.hpp"
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
    gateway(http::event_loop& loop, kernel::hybrid_clock& order,
            const settings::gateway_settings& settings, std::vector<wire::bytes> keys,
            kernel::event_sink& events, discovery::feed_source& feeds, const object_codec& reader,
            const header_names& names);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    // Returns false, with the reason, if an address cannot be listened on.
    bool start(kernel::error& reason);

    // Fails the readiness check, lets requests in progress end, and runs `done`.
    void shut_down(kernel::task done);

    std::uint16_t caller_port() const { return this->callers->port(); }
    std::uint16_t ready_port() const { return this->ready->port(); }
    std::uint16_t metrics_port() const { return this->metrics_server->port(); }
    debug::metrics& metrics() { return this->measured; }

private:
    bool is_ready() const { return !this->leaving && this->fleet.is_complete(); }
    void accept(std::unique_ptr<http::exchange> incoming, helpers::time_point arrived);
    void refuse_while_leaving(http::exchange& incoming);
    void answer_ready(http::exchange& incoming) const;
    void watch_metrics();
    void check_left();
    void finish();

    http::event_loop& loop;
    settings::gateway_settings settings;
    kernel::event_sink& events;
    header_names names;
    kernel::random_source random;
    debug::metrics measured;
    http::h2o_client target_client;
    discovery::target_catalog catalog;
    dispatcher dispatch;
    wire::tcp_transport transport;
    wire::exchange_transport link;
    fleet_state fleet;
    exchange::exchange_node node;
    gateway_counters counters;
    latency_sinks latencies;
    bool leaving = false;
    request_services services;
    std::unique_ptr<http::h2o_server> callers;
    std::unique_ptr<http::h2o_server> ready;
    std::unique_ptr<http::h2o_server> metrics_server;
    std::unordered_map<std::uint64_t, std::unique_ptr<proxied_request>> requests;
    start_queue early;
    std::uint64_t last_sequence = 0;
    helpers::time_point left_at{};
    kernel::task left;
    kernel::timer_id leave_timer = 0;
};

} // namespace samphirespool::gateway
