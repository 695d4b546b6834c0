// Helpers for the query string and the percent-encoded path of a request.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace samphirespool::standins {

std::string percent_decode(std::string_view text);
std::optional<std::string> query_value(std::string_view query, std::string_view name);
// Returns nothing if the field is missing or not a decimal number.
std::optional<std::uint64_t> query_number(std::string_view query, std::string_view name);

} // namespace samphirespool::standins
