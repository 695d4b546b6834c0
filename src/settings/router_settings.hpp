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
    reader,
    operator_role,
};

struct admin_token {
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

    helpers::endpoint caller_listen;
    std::optional<tls_settings> caller_tls;
    helpers::endpoint admin_listen;
    std::optional<tls_settings> admin_tls;
    std::vector<admin_token> admin_tokens;
    helpers::endpoint peer_listen;

    // Peer addresses of some routers of the fleet; the rest is learnt from them.
    std::vector<helpers::endpoint> seeds;
    // Fleet keys in hex, newest first; frames are signed with the first and accepted with any.
    std::vector<std::string> fleet_keys;
    helpers::endpoint store;

    std::size_t max_body_bytes = std::size_t{8} << 20;
    std::size_t max_connections = 20'000;
    helpers::duration request_timeout = std::chrono::seconds(10);
    helpers::duration idle_timeout = std::chrono::seconds(60);
    helpers::duration max_deadline = std::chrono::minutes(10);
    helpers::duration shutdown_grace = std::chrono::minutes(10);
    std::size_t max_queued_requests = 10'000;

    // Empty: standard error.
    std::string log_file;
    // Seed of this router's random choices; 0: from the machine.
    std::uint64_t seed = 0;

    friend bool operator==(const router_settings&, const router_settings&) = default;
};

// Reads settings from YAML; the keys are the names of the members above. Appends every fault found,
// of kind `invalid_settings`, with line and column in the detail, and returns nothing if there is
// one.
std::optional<router_settings> read_router_settings(std::string_view yaml_text,
                                                    std::vector<kernel::error>& faults);

// Appends a fault for each certificate and key that a listener could not use, and for a log file
// that cannot be written. Creates the log file if it is missing.
void check_files(const router_settings& settings, std::vector<kernel::error>& faults);

} // namespace samphirespool::settings
