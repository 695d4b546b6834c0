// The operator's configuration of a fleet of gateways: routes, services, API keys of organisations,
// and limits on callers. Each version is immutable.
#pragma once

#include "helpers/ids.hpp"
#include "helpers/time.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace samphirespool::routing {

struct weighted_service {
    helpers::service_id service;
    std::uint32_t weight = 1;
};

// Requests for a host and path prefix, and how they are handled.
struct route {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string path_prefix;
    // The response is a stream of events, and the objective is the time to the first event.
    bool is_streaming = false;
    // A request may be executed more than once.
    bool is_idempotent = false;
    // A broken stream may be resumed at another target.
    bool is_resumable = false;
    // Requests need no API key.
    bool is_public = false;
    // Requests list the segments of their prompt.
    bool has_prompt_segments = false;
    // Upper bound for the time of a request.
    helpers::duration timeout{};
    // Latency objective.
    helpers::duration objective{};
    // Longest pause between two events of a stream that the route's objective allows; zero if it
    // names none.
    helpers::duration event_gap{};
    // 0 is the most urgent.
    std::uint32_t priority = 0;
    // Maximum number of attempts for one request, including the first one.
    std::uint32_t max_attempts = 1;
    // Never empty; the weights are positive.
    std::vector<weighted_service> services;
};

// Capacity of a model engine.
struct engine_capacity {
    // Requests that run at the same time.
    std::uint32_t slots = 0;
    std::uint64_t kv_cache_tokens = 0;
};

struct service {
    std::string name;
    std::string health_path;
    // Connections to each target, from all callers together.
    std::uint32_t max_connections = 0;
    // Requests per second that a cold target can handle.
    double cold_per_second = 0;
    // Set for services of model engines.
    std::optional<engine_capacity> engine;
};

struct caller_limits {
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = std::size_t{4} << 20;
    helpers::duration header_timeout = std::chrono::seconds(3);
    helpers::duration idle_timeout = std::chrono::seconds(15);
};

// How long a stream of the route may go on over its caller's attempts. The route's limit may have
// been longer when the stream began.
inline helpers::duration longest_stream(const route& of) {
    constexpr helpers::duration min_stream_lifetime = std::chrono::seconds(20);
    return std::max(min_stream_lifetime, 2 * of.timeout);
}

// The organisation to which an API key belongs.
struct api_key_owner {
    std::string organisation;
    // Overrides the route's priority.
    std::optional<std::uint32_t> priority;
};

struct configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::unordered_map<helpers::service_id, service> services;
    caller_limits limits;
    // If the configuration has no organisations, no request needs an API key.
    bool has_organisations = false;
    std::unordered_map<std::string, api_key_owner> api_keys;
};

} // namespace samphirespool::routing
