// What the operator configures for a fleet of gateways: routes, services, keys of organisations
// and the limits on callers. A version is immutable once it is read.
#pragma once

#include "helpers/ids.hpp"
#include "helpers/time.hpp"

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

struct route {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string path_prefix;
    // The answer is a series of events, and the objective is the time to the first of them.
    bool is_streaming = false;
    // A request may run more than once.
    bool is_idempotent = false;
    // A broken stream may be continued by another target.
    bool is_resumable = false;
    // Needs no key of an organisation.
    bool is_public = false;
    // Requests name the parts of their prompt.
    bool has_prompt_segments = false;
    helpers::duration timeout{};
    helpers::duration objective{};
    // 0 is the most urgent.
    std::uint32_t priority = 0;
    // Targets to which one request may be sent, the first one included.
    std::uint32_t max_attempts = 1;
    // Never empty; the weights are positive.
    std::vector<weighted_service> services;
};

struct engine_capacity {
    std::uint32_t slots = 0;
    std::uint64_t kv_cache_tokens = 0;
};

struct service {
    std::string name;
    std::string health_path;
    // Of all callers together, for each target.
    std::uint32_t max_connections = 0;
    // Requests a second that a cold target bears.
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

struct api_key_owner {
    std::string organisation;
    // Goes before the route's priority.
    std::optional<std::uint32_t> priority;
};

struct configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::unordered_map<helpers::service_id, service> services;
    caller_limits limits;
    // Without organisations no key is asked for.
    bool has_organisations = false;
    std::unordered_map<std::string, api_key_owner> api_keys;
};

} // namespace samphirespool::routing
