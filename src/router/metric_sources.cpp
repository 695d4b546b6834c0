// Tables of a router's counters with their names on the metrics page.
#include "router/metric_sources.hpp"

#include <array>
#include <string>

namespace samphirespool::router {

namespace {

struct request_metric {
    const char* outcome;
    std::uint64_t request_counters::*value;
};

constexpr std::array request_outcomes{
    request_metric{"answered", &request_counters::answered},
    request_metric{"not_run", &request_counters::not_run},
    request_metric{"unknown", &request_counters::unknown},
    request_metric{"departed", &request_counters::departed},
};

struct request_event {
    const char* name;
    const char* help;
    std::uint64_t request_counters::*value;
};

constexpr std::array request_events{
    request_event{"samphirespool_requests_accepted_total", "Requests taken in.",
                  &request_counters::accepted},
    request_event{"samphirespool_requests_retried_total", "Further attempts.",
                  &request_counters::retried},
    request_event{"samphirespool_streams_resumed_total", "Streams resumed on another target.",
                  &request_counters::resumed},
    request_event{"samphirespool_streams_broken_total", "Streams broken off visibly.",
                  &request_counters::broken_streams},
    request_event{"samphirespool_answers_crossed_total", "Answers of another request, dropped.",
                  &request_counters::crossed_answers},
};

struct store_metric {
    const char* call;
    std::uint64_t store::store_call_counters::*value;
};

constexpr std::array store_calls{
    store_metric{"read", &store::store_call_counters::reads},
    store_metric{"write", &store::store_call_counters::writes},
    store_metric{"remove", &store::store_call_counters::removes},
    store_metric{"list", &store::store_call_counters::lists},
    store_metric{"watch", &store::store_call_counters::watches},
    store_metric{"vm_list", &store::store_call_counters::vm_lists},
};

void watch_requests(debug::metrics& metrics, const request_path& path) {
    const auto* counters = &path.front().handler().counters();
    for (const auto& each : request_outcomes)
        metrics.watch_counter({"samphirespool_requests_total", "Requests by outcome."},
                              [counters, value = each.value] { return counters->*value; },
                              {{"outcome", each.outcome}});
    for (const auto& each : request_events)
        metrics.watch_counter({each.name, each.help},
                              [counters, value = each.value] { return counters->*value; });
    metrics.watch_gauge({"samphirespool_requests_in_flight", "Requests taken in and not ended."},
                        [&path] { return static_cast<double>(path.front().handler().live()); });
    metrics.watch_gauge({"samphirespool_requests_queued", "Requests that wait for their turn."},
                        [&path] { return static_cast<double>(path.waiting().waiting()); });
}

void watch_store(debug::metrics& metrics, const store::monitored_store& store) {
    const auto* counters = &store.counters();
    for (const auto& each : store_calls)
        metrics.watch_counter({"samphirespool_store_calls_total", "Calls of the object API."},
                              [counters, value = each.value] { return counters->*value; },
                              {{"call", each.call}});
    metrics.watch_counter({"samphirespool_store_failures_total", "Calls without an answer."},
                          [counters] { return counters->failed; });
}

} // namespace

void watch_router(debug::metrics& metrics, const watched_parts& parts) {
    watch_requests(metrics, parts.path);
    watch_store(metrics, parts.store);
    metrics.watch_gauge(
        {"samphirespool_members_alive", "Routers known to be alive."},
        [&members = parts.members] { return static_cast<double>(members.live_count()); });
    metrics.watch_gauge(
        {"samphirespool_reservations_waiting", "Requests that wait for a reservation."},
        [&shares = parts.shares] { return static_cast<double>(shares.waiting_requests()); });
    metrics.watch_gauge(
        {"samphirespool_reservations_outstanding", "Reservations not ended."},
        [&shares = parts.shares] { return static_cast<double>(shares.shares().outstanding()); });
}

} // namespace samphirespool::router
