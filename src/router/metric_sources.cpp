// Tables that map a router's counters to the names of their metrics.
#include "router/metric_sources.hpp"

#include "http/intake_metrics.hpp"

#include <array>
#include <string>

namespace samphirespool::router {

namespace {

struct outcome_metric {
    const char* outcome;
    std::uint64_t request_counters::*value;
};

constexpr std::array outcome_metrics{
    outcome_metric{"answered", &request_counters::answered},
    outcome_metric{"not_run", &request_counters::not_run},
    outcome_metric{"unknown", &request_counters::unknown},
    outcome_metric{"departed", &request_counters::disconnected},
};

struct request_metric {
    const char* name;
    const char* help;
    std::uint64_t request_counters::*value;
};

constexpr std::array request_metrics{
    request_metric{"samphirespool_requests_accepted_total", "Requests accepted.",
                   &request_counters::accepted},
    request_metric{"samphirespool_requests_retried_total",
                   "Attempts after the first one of a request.", &request_counters::retried},
    request_metric{"samphirespool_streams_resumed_total", "Attempts to resume a broken stream.",
                   &request_counters::resumed},
    request_metric{"samphirespool_streams_broken_total",
                   "Streams cut off after the caller had received a part.",
                   &request_counters::broken_streams},
    request_metric{"samphirespool_answers_crossed_total",
                   "Responses that did not carry the id of the request; dropped.",
                   &request_counters::mismatched_responses},
};

struct store_metric {
    const char* call;
    std::uint64_t store::store_call_counters::*value;
};

constexpr std::array store_metrics{
    store_metric{"read", &store::store_call_counters::reads},
    store_metric{"write", &store::store_call_counters::writes},
    store_metric{"remove", &store::store_call_counters::removes},
    store_metric{"list", &store::store_call_counters::lists},
    store_metric{"watch", &store::store_call_counters::watches},
    store_metric{"vm_list", &store::store_call_counters::vm_lists},
};

void register_requests(debug::metrics& metrics, const request_path& path) {
    const auto* counters = &path.server().handler().counters();
    for (const auto& metric : outcome_metrics)
        metrics.watch_counter({"samphirespool_requests_total", "Requests by outcome."},
                              [counters, value = metric.value] { return counters->*value; },
                              {{"outcome", metric.outcome}});
    for (const auto& metric : request_metrics)
        metrics.watch_counter({metric.name, metric.help},
                              [counters, value = metric.value] { return counters->*value; });
    metrics.watch_gauge(
        {"samphirespool_requests_in_flight", "Requests accepted and not finished."},
        [&path] { return static_cast<double>(path.server().handler().requests_in_progress()); });
    metrics.watch_gauge({"samphirespool_requests_queued", "Requests that wait in the queue."},
                        [&path] { return static_cast<double>(path.queue().waiting()); });
}

void register_store(debug::metrics& metrics, const store::monitored_store& store) {
    const auto* counters = &store.counters();
    for (const auto& metric : store_metrics)
        metrics.watch_counter(
            {"samphirespool_store_calls_total", "Calls to the object API by kind."},
            [counters, value = metric.value] { return counters->*value; }, {{"call", metric.call}});
    metrics.watch_counter({"samphirespool_store_failures_total",
                           "Calls to the object API that failed or got no reply."},
                          [counters] { return counters->failed; });
}

} // namespace

void register_router_metrics(debug::metrics& metrics, const router_metric_sources& sources) {
    register_requests(metrics, sources.path);
    register_store(metrics, sources.store);
    metrics.watch_gauge(
        {"samphirespool_members_alive", "Routers considered alive, this one included."},
        [&members = sources.members] { return static_cast<double>(members.live_count()); });
    metrics.watch_gauge(
        {"samphirespool_reservations_waiting", "Requests that wait for a reservation."},
        [&shares = sources.shares] { return static_cast<double>(shares.waiting_requests()); });
    metrics.watch_gauge(
        {"samphirespool_reservations_outstanding", "Reservations granted and not released."},
        [&shares = sources.shares] { return static_cast<double>(shares.shares().outstanding()); });
}

void register_intake_metrics(debug::metrics& metrics, const caller_server& callers,
                             const admin::admin_server& operators) {
    const std::string prefix = "samphirespool_";
    http::register_server_metrics(metrics, prefix, "callers", callers.listener());
    http::register_server_metrics(metrics, prefix, "admin", operators.listener());
    http::register_account_metrics(metrics, prefix, callers.account());
}

} // namespace samphirespool::router
