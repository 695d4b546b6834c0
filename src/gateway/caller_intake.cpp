// The decisions that need no body.
#include "gateway/caller_intake.hpp"

#include "gateway/relay_ticket.hpp"
#include "gateway/request_metadata.hpp"

#include <algorithm>

namespace samphirespool::gateway {

namespace {

// Of a body whose request has no limit of its own.
constexpr helpers::duration max_body_time = std::chrono::seconds(60);
constexpr std::size_t relay_header_bytes = 2048;
// Callers wait for a third of the time that they have left at most.
constexpr double max_retry_after_fraction = 0.33;

http::request_limits request_limits_of(const routing::caller_limits& limits) {
    http::request_limits result;
    result.max_body_bytes = limits.max_body_bytes;
    result.max_header_bytes = limits.max_header_bytes;
    result.header_timeout = limits.header_timeout;
    result.body_timeout = max_body_time;
    result.body_stall_timeout = limits.idle_timeout;
    result.idle_timeout = limits.idle_timeout;
    return result;
}

} // namespace

caller_intake::caller_intake(table_source table, const header_names& names,
                             gateway_counters& counters, kernel::random_source& random,
                             kernel::event_sink& events, const kernel::clock& time)
    : http::logged_policy("callers", {}, events, time),
      table(std::move(table)),
      names(names),
      counters(counters),
      random(random) {}

http::request_limits caller_intake::limits() const {
    const auto routes = this->table();
    return request_limits_of(routes == nullptr ? routing::caller_limits{}
                                               : routes->values().limits);
}

http::head_decision caller_intake::refuse(kernel::error_kind kind, std::string_view detail,
                                          std::string request_id) const {
    ++this->counters.requests;
    ++this->counters.rejected;
    http::head_decision result;
    result.refusal.emplace();
    result.refusal->reason = {kind, std::string(detail)};
    result.refusal->request_id = std::move(request_id);
    return result;
}

http::head_decision caller_intake::judge(const http::server_request& head) const {
    const auto routes = this->table();
    // The request waits for the end of startup.
    if (routes == nullptr)
        return {};
    auto metadata = read_request_metadata(head, this->names);
    const auto* route = routes->find_route(head.authority, head.path);
    if (route == nullptr)
        return this->refuse(kernel::error_kind::not_found, "no route for this host and path",
                            std::move(metadata.id));
    if (routes->values().has_organisations && !route->is_public &&
        routes->find_api_key(metadata.api_key) == nullptr)
        return this->refuse(kernel::error_kind::unauthorized, "unknown API key",
                            std::move(metadata.id));
    http::head_decision result;
    const auto timeout =
        route->timeout > helpers::duration::zero() ? route->timeout : max_body_time;
    const auto time_left = std::min(metadata.deadline.value_or(timeout), timeout);
    result.body_timeout = time_left;
    // Spread, so that callers that are refused together do not come back together.
    result.retry_after = std::chrono::duration_cast<helpers::duration>(
        time_left * max_retry_after_fraction * (1 + this->random.fraction()) / 2);
    return result;
}

relay_intake::relay_intake(const caller_intake& callers, kernel::event_sink& events,
                           const kernel::clock& time)
    : http::logged_policy("relays", {}, events, time), callers(callers) {}

http::request_limits relay_intake::limits() const {
    auto result = this->callers.limits();
    result.max_header_bytes += relay_header_bytes;
    return result;
}

http::head_decision relay_intake::judge(const http::server_request& head) const {
    http::head_decision result;
    if (!http::find_header(head.headers, relay_fields::ticket)) {
        result.refusal.emplace();
        result.refusal->reason = {kernel::error_kind::forbidden, "not a gateway of this fleet"};
    }
    return result;
}

} // namespace samphirespool::gateway
