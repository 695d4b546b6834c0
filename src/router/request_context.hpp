// State and services that all requests of one router share.
#pragma once

#include "admission/reservation.hpp"
#include "claims/claim_service.hpp"
#include "http/client.hpp"
#include "kernel/event.hpp"
#include "kernel/loop.hpp"
#include "request/retry_budget.hpp"
#include "router/fleet_view.hpp"
#include "router/identity.hpp"
#include "router/request_queue.hpp"
#include "router/target_health.hpp"

#include <cstdint>

namespace samphirespool::router {

struct request_limits {
    // Upper bound on the deadline that a caller may set.
    helpers::duration max_deadline = std::chrono::minutes(10);
    std::size_t max_requests_in_progress = 10'000;
};

// Each accepted request ends in exactly one of answered, not_run, unknown, disconnected and
// broken_streams. not_run also counts requests that were rejected on arrival.
struct request_counters {
    std::uint64_t accepted = 0;
    std::uint64_t answered = 0;
    // Rejected or failed before any byte was sent to a target.
    std::uint64_t not_run = 0;
    // Failed after the request may have reached a target.
    std::uint64_t unknown = 0;
    // The caller closed its connection before the response was complete.
    std::uint64_t disconnected = 0;
    // Attempts after the first one.
    std::uint64_t retried = 0;
    // Attempts to continue a broken stream.
    std::uint64_t resumed = 0;
    // Responses that do not carry the id of the request; they are dropped.
    std::uint64_t mismatched_responses = 0;
    // Found by requests, beside those that the client finds.
    kernel::response_fault_counts response_faults;
    // Streams that were cut off after the caller had received a part.
    std::uint64_t broken_streams = 0;
};

// Invariant: everything referenced outlives the requests.
struct request_context {
    kernel::loop& loop;
    fleet_view& fleet;
    admission::reservation_service& reservations;
    claims::claim_service& claims;
    request_queue& queue;
    target_health& health;
    request::retry_budget& retries;
    http::client& targets;
    kernel::event_sink& events;
    router_identity self;
    request_limits limits;
    request_counters counters;
};

} // namespace samphirespool::router
