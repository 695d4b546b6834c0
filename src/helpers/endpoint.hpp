// A TCP address by IP number.
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

// Parses "10.0.0.1:8080" or "[::1]:8080". Returns nothing if either part is malformed.
std::optional<endpoint> parse_endpoint(std::string_view text);

std::string to_string(const endpoint& address);

} // namespace samphirespool::helpers
