// Settings of the gateway daemon, as read from its YAML file. Unknown keys are ignored, so that an
// older gateway starts with the template of a newer platform.
#pragma once

#include "helpers/endpoint.hpp"
#include "helpers/time.hpp"
#include "kernel/error.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphirespool::settings {

struct gateway_settings {
    // Unique name of this gateway.
    std::string name;
    std::string data_centre;
    // Address for callers.
    helpers::endpoint caller_listen;
    // Address of the readiness check.
    helpers::endpoint ready_listen;
    // Address of the metrics in the Prometheus text format; the system chooses the port if it is 0.
    helpers::endpoint metrics_listen;
    // Address for the other gateways.
    helpers::endpoint peer_listen;
    // Address for requests of gateways that have no path to the targets; if it is missing, the port
    // after that of peer_listen.
    helpers::endpoint relay_listen;
    // Hexadecimal key, the same for all gateways, with which they sign the frames between them.
    std::string fleet_key;
    // Address of the platform's object API.
    helpers::endpoint store;
    // Maximum time from SIGTERM to the exit of the process.
    helpers::duration shutdown_grace = std::chrono::seconds(8);
    // Maximum number of open connections of callers, and of other gateways that pass on requests.
    std::size_t max_connections = 2000;
    // Descriptors that the process may open; 0: what the kernel allows it. Callers get half at
    // most.
    std::size_t max_descriptors = 0;
    // Memory of the process in MB; half of it may hold requests, from their first byte on, and
    // responses that callers have not read yet. 0: the memory of the machine.
    std::size_t memory_limit_mb = 0;
    // The kernel's receive buffer of a caller's connection.
    std::size_t receive_buffer = std::size_t{8} << 10;
    // Capacity of this machine's network link in Mbit/s, and its share of a CPU core.
    double link_mbps = 1000;
    double cpu_share = 1;
    // Retry budget (keys repeat_ratio, repeat_burst and repeat_window): retries per request to a
    // service, plus a number of retries of all gateways together, both within the window.
    double retry_ratio = 0.2;
    double retry_burst = 50;
    helpers::duration retry_window = std::chrono::seconds(10);
    // Limit on requests per second to a cold target: `cold_overage` times the rate that its service
    // states, plus `cold_slack`.
    double cold_overage = 1.0;
    double cold_slack = 0;
    // Times after the store's acknowledgement within which every gateway must apply a new
    // configuration, and send no more requests to a target that is leaving.
    helpers::duration configuration_bound = std::chrono::seconds(2);
    helpers::duration drain_bound = std::chrono::seconds(2);
    // Rollouts are active only if this is above 0: the share of a service's requests that a version
    // may receive before it has proved itself, as a fraction.
    double rollout_exposure_share = 0;
    // Names of the registered strategies that choose a target: for services with engines, and for
    // all others.
    std::string engine_choice = "shared_part";
    std::string plain_choice = "least_loaded";
    // Slow start of new and recovered targets, and their current speeds: `off`, `reported` (only in
    // services whose targets state their speed) or `on`.
    std::string target_pace = "reported";
    // File that log lines are appended to; empty for standard output.
    std::string log_file;
};

// Reads settings from YAML. Appends a fault of kind `invalid_settings` for every invalid key, with
// the key in the detail, and returns nothing if there is one.
std::optional<gateway_settings> read_gateway_settings(std::string_view yaml_text,
                                                      std::vector<kernel::error>& faults);

} // namespace samphirespool::settings
