// The counters, gauges and histograms of a gateway's metrics address.
#include "gateway/gateway.hpp"

#include "http/intake_metrics.hpp"

#include <array>

namespace samphirespool::gateway {

namespace {

constexpr std::array<double, 12> latency_bounds{0.01, 0.02, 0.05, 0.1, 0.2, 0.3,
                                                0.5,  0.8,  1.5,  3,   6,   15};

} // namespace

void gateway::register_metrics() {
    const auto count = [this](const char* name, const char* help, const std::uint64_t& value) {
        this->metric_registry.watch_counter({name, help}, [&value] { return value; });
    };
    count("requests_total", "Requests received from callers.", this->counters.requests);
    count("requests_answered_total", "Requests that finished with a target's response.",
          this->counters.responded);
    count("requests_refused_total", "Requests that were rejected and not executed.",
          this->counters.rejected);
    count("requests_failed_total",
          "Requests that finished with an error and may have been executed.",
          this->counters.failed);
    count("requests_departed_total", "Requests whose caller closed the connection first.",
          this->counters.disconnected);
    count("streams_broken_total", "Streams that were broken off.", this->counters.broken_streams);
    count("streams_resumed_total", "Streams that were resumed at another target.",
          this->counters.resumed_streams);
    count("repeats_total", "Retries sent to a target.", this->counters.retries);
    count("repeats_refused_total", "Retries that the fleet's budget did not allow.",
          this->counters.retries_refused);
    count("targets_suspected_total",
          "Times that a target was suspected because of the fleet's failures there.",
          this->dispatch.suspicions());
    count("memory_rejections_total", "Requests that were rejected for want of memory.",
          this->counters.memory_rejections);
    count("memory_aborts_total", "Responses that were broken off for want of memory.",
          this->counters.memory_aborts);
    count("prompts_quarantined_total",
          "Requests rejected because a segment of their prompt has crashed several targets.",
          this->crashes.prompt_rejections());
    count("requests_quarantined_total",
          "Requests rejected because earlier attempts of the same request have crashed several "
          "targets.",
          this->crashes.request_rejections());
    count("prompt_trials_total", "Requests sent to find out whether a quarantine can end.",
          this->crashes.trials());
    count("relays_sent_total",
          "Requests that were passed on to another gateway, since no path to a target works.",
          this->counters.relays_sent);
    count("relays_received_total", "Requests that other gateways have passed on.",
          this->counters.relays_received);
    count("relays_refused_total",
          "Requests that the other gateway did not serve, or whose connection to it failed.",
          this->counters.relays_refused);
    const auto& archived = this->archive.totals();
    count("stream_origin_lists_total", "Calls to the store that list the origins of streams.",
          archived.lists);
    count("stream_origin_writes_total",
          "Calls to the store that write origins of streams or versions of services.",
          archived.writes);
    count("stream_origin_conflicts_total",
          "Those of them that found an object which another gateway had changed.",
          archived.conflicts);
    count("stream_origin_failures_total", "Calls of both kinds without an answer of the store.",
          archived.failures);
    count("stream_origins_known_total", "Lookups of streams that the store's content has answered.",
          archived.known);
    count("stream_origins_unknown_total",
          "Lookups of streams that the store's content could not answer.", archived.unknown);
    http::register_response_metrics(
        this->metric_registry, "", "targets",
        {&this->target_client.faults(), &this->counters.response_faults});
    this->register_gauges();
    auto& first_byte = this->metric_registry.make_histogram(
        {"first_part_seconds",
         "Time from the arrival of a request to the first byte of its response."},
        latency_bounds);
    auto& total = this->metric_registry.make_histogram(
        {"request_seconds", "Time from the arrival of a request to its end."}, latency_bounds);
    this->latencies.first_byte = [&first_byte](double seconds) { first_byte.record(seconds); };
    this->latencies.total = [&total](double seconds) { total.record(seconds); };
}

void gateway::register_intake_metrics() {
    auto& metrics = this->metric_registry;
    http::register_server_metrics(metrics, "", "callers", *this->caller_server);
    http::register_server_metrics(metrics, "", "relays", *this->relay_server);
    http::register_server_metrics(metrics, "", "readiness", *this->readiness_server);
    http::register_server_metrics(metrics, "", "metrics", *this->metrics_server);
    http::register_account_metrics(metrics, "", this->memory.account());
}

void gateway::register_gauges() {
    this->metric_registry.watch_gauge(
        {"broken_paths", "Targets to which this gateway cannot connect."},
        [this] { return static_cast<double>(this->dispatch.paths().broken_count()); });
    this->metric_registry.watch_gauge(
        {"quarantined_segments", "Prompt segments that are quarantined."},
        [this] { return static_cast<double>(this->crashes.quarantined_segments()); });
    this->metric_registry.watch_gauge(
        {"quarantined_requests", "Requests that are quarantined, by their digest."},
        [this] { return static_cast<double>(this->crashes.quarantined_requests()); });
    this->metric_registry.watch_gauge(
        {"limited_targets", "Targets that name a limit of the requests that they take."},
        [this] { return static_cast<double>(this->dispatch.limited_targets()); });
    this->metric_registry.watch_gauge(
        {"leaving_targets", "Targets that have said in a response that they are about to stop."},
        [this] { return static_cast<double>(this->catalog.leaving_count()); });
    this->metric_registry.watch_gauge(
        {"quiet_targets", "Targets that have asked this gateway to send them nothing for a time."},
        [this] { return static_cast<double>(this->dispatch.quiet_targets()); });
    this->metric_registry.watch_gauge(
        {"paced_targets", "Targets whose requests in flight are limited after a start or return."},
        [this] { return static_cast<double>(this->dispatch.paced_targets()); });
    this->metric_registry.watch_gauge(
        {"changed_speed_targets", "Targets that have just stated another than their usual speed."},
        [this] { return static_cast<double>(this->dispatch.changed_speeds()); });
    this->metric_registry.watch_gauge(
        {"store_era", "Latest era that the store or a peer has stated; it rises each time that the "
                      "store comes back from an older copy."},
        [this] { return static_cast<double>(this->fleet.gate().era()); });
    this->metric_registry.watch_gauge(
        {"stream_origins_waiting", "Origins of streams that wait to be written to the store."},
        [this] { return static_cast<double>(this->archive.waiting_records()); });
    this->metric_registry.watch_gauge(
        {"mixed_services",
         "Services with resumable streams that have served several software "
         "versions for as long as a stream may last; 0 unless this gateway is a hub."},
        [this] { return static_cast<double>(this->archive.mixed_services()); });
    this->metric_registry.watch_gauge(
        {"requests_waiting", "Requests that are queued for a target."},
        [this] { return static_cast<double>(this->dispatch.queued()); });
    this->metric_registry.watch_gauge(
        {"requests_in_progress", "Requests that have not finished."},
        [this] { return static_cast<double>(this->requests.size()); });
    this->metric_registry.watch_gauge(
        {"configuration_version", "Version of the configuration in force; 0 if there is none."},
        [this] {
            const auto& table = this->fleet.table();
            return table == nullptr ? 0.0 : static_cast<double>(table->values().version);
        });
    this->metric_registry.watch_gauge(
        {"store_reachable", "1 if the last call to the store succeeded, else 0."},
        [this] { return this->fleet.is_store_reachable() ? 1.0 : 0.0; });
}

} // namespace samphirespool::gateway
