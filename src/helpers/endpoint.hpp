// A TCP endpoint: a numeric IP address and a port.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace samphirespool::helpers {

struct endpoint {
    std::string ip;
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

// Parses "10.0.0.1:8080" or "[::1]:8080". Returns nullopt if either part is malformed; host names
// are not resolved.
std::optional<endpoint> parse_endpoint(std::string_view text);

// Formats an endpoint so that parse_endpoint() accepts it.
std::string to_string(const endpoint& address);

} // namespace samphirespool::helpers
