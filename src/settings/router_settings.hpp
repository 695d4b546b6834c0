// Settings of the router daemon, as read from its YAML file.
#pragma once

#include "helpers/endpoint.hpp"
#include "helpers/time.hpp"
#include "kernel/error.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphirespool::settings {

struct tls_settings {
    std::string certificate_file;
    std::string key_file;

    friend bool operator==(const tls_settings&, const tls_settings&) = default;
};

enum class admin_role : std::uint8_t {
    // May only read.
    reader,
    // May also make changes. Named "operator" in the settings, which is a keyword here.
    operator_role,
};

// A bearer token of the administration API.
struct admin_token {
    // Name of the token's owner, unique among the tokens.
    std::string name;
    // Hex SHA-256 of the token.
    std::string token_hash;
    admin_role role = admin_role::reader;

    friend bool operator==(const admin_token&, const admin_token&) = default;
};

struct router_settings {
    // Unique name of this router.
    std::string name;
    std::string data_centre;
    std::string region;

    // Addresses for callers, operators and other routers. Without TLS settings a listener uses
    // plain HTTP.
    helpers::endpoint caller_listen;
    std::optional<tls_settings> caller_tls;
    helpers::endpoint admin_listen;
    std::optional<tls_settings> admin_tls;
    std::vector<admin_token> admin_tokens;
    helpers::endpoint peer_listen;

    // Peer addresses of some routers, from which this router obtains those of the rest of the
    // fleet.
    std::vector<helpers::endpoint> seeds;
    // Hexadecimal keys shared by the fleet, newest first. Frames are signed with the first one and
    // accepted with any.
    std::vector<std::string> fleet_keys;
    // Address of the platform's object API.
    helpers::endpoint store;

    // Maximum size of a request body.
    std::size_t max_body_bytes = std::size_t{8} << 20;
    // Maximum number of open connections of callers.
    std::size_t max_connections = 20'000;
    // Descriptors that the process may open; 0: what the kernel allows it. Callers get half at
    // most.
    std::size_t max_descriptors = 0;
    // Memory of the process in MB; half of it may hold requests, from their first byte on, and
    // responses that callers have not read yet. 0: the memory of the machine.
    std::size_t memory_limit_mb = 0;
    // The kernel's receive buffer of a caller's connection.
    std::size_t receive_buffer = std::size_t{8} << 10;
    // Maximum time to receive the rest of a request once it has begun to arrive.
    helpers::duration request_timeout = std::chrono::seconds(10);
    // Maximum idle time of a connection between requests.
    helpers::duration idle_timeout = std::chrono::seconds(60);
    // Maximum deadline that a caller may set.
    helpers::duration max_deadline = std::chrono::minutes(10);
    // Maximum time for running requests to finish after SIGTERM.
    helpers::duration shutdown_grace = std::chrono::minutes(10);
    // Maximum number of requests that wait in this router for a target.
    std::size_t max_queued_requests = 10'000;

    // File that log lines are appended to; empty for standard error.
    std::string log_file;
    // Seed of this router's random choices; 0 obtains one from the system.
    std::uint64_t seed = 0;

    friend bool operator==(const router_settings&, const router_settings&) = default;
};

// Reads settings from YAML; the keys are the names of the members above, and unknown keys are
// faults. Appends a fault of kind `invalid_settings` for every error, with line and column in the
// detail, and returns nothing if there is one.
std::optional<router_settings> read_router_settings(std::string_view yaml_text,
                                                    std::vector<kernel::error>& faults);

// Appends a fault for each pair of certificate and key that a listener cannot use, and for a log
// file that cannot be written. Creates the log file if it does not exist.
void check_files(const router_settings& settings, std::vector<kernel::error>& faults);

} // namespace samphirespool::settings
