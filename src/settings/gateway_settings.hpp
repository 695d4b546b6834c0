// Settings of the gateway daemon, as read from its YAML file. Keys that are not known are ignored,
// so that a newer platform's template does not stop an older gateway.
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
    helpers::endpoint caller_listen;
    helpers::endpoint ready_listen;
    // Counters and histograms in the Prometheus text format; port 0: chosen by the system.
    helpers::endpoint metrics_listen;
    // Where the other gateways reach this one.
    helpers::endpoint peer_listen;
    // In hex, the same for all gateways; frames between them are signed with it.
    std::string fleet_key;
    helpers::endpoint store;
    // From SIGTERM to the end of the process, at most.
    helpers::duration shutdown_grace = std::chrono::seconds(8);
    std::size_t max_connections = 2000;
    // Megabits a second of this machine's link, and its share of a core.
    double link_mbps = 1000;
    double cpu_share = 1;
    // Repeats for each request to a service, and beyond these, of all gateways in the window.
    double retry_ratio = 0.2;
    double retry_burst = 50;
    helpers::duration retry_window = std::chrono::seconds(10);
    // Bounds on requests to a cold target: times its rate, plus so many.
    double cold_overage = 1.0;
    double cold_slack = 0;
    // Names of registered strategies.
    std::string engine_choice = "shared_part";
    std::string plain_choice = "least_loaded";
    // Empty: standard output.
    std::string log_file;
};

// Appends every fault found, of kind `invalid_settings`, with the key in the detail, and returns
// nothing if there is one.
std::optional<gateway_settings> read_gateway_settings(std::string_view yaml_text,
                                                      std::vector<kernel::error>& faults);

} // namespace samphirespool::settings
