// What all requests of a router share: collaborators, identity, limits and counters.
#pragma once

#include "admission/reservation.hpp"
#include "claims/claim_service.hpp"
#include "http/client.hpp"
#include "kernel/event.hpp"
#include "kernel/loop.hpp"
#include "request/retry_budget.hpp"
#include "router/fleet_view.hpp"
#include "router/identity.hpp"
#include "router/target_health.hpp"
#include "router/turn_queue.hpp"

#include <cstdint>

namespace samphirespool::router {

struct request_limits {
    helpers::duration max_deadline = std::chrono::minutes(10);
    std::size_t max_live_requests = 10'000;
};

struct request_counters {
    std::uint64_t accepted = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t departed = 0;
    std::uint64_t retried = 0;
    std::uint64_t resumed = 0;
    // Answers of another request: dropped.
    std::uint64_t crossed_answers = 0;
    std::uint64_t broken_streams = 0;
};

struct request_context {
    kernel::loop& loop;
    fleet_view& fleet;
    admission::reservation_service& reservations;
    claims::claim_service& claims;
    turn_queue& turns;
    target_health& health;
    request::retry_budget& retries;
    http::client& targets;
    kernel::event_sink& events;
    router_identity self;
    request_limits limits;
    request_counters counters;
};

} // namespace samphirespool::router
