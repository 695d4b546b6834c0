// Parameters in the query of a request. Values are taken as they stand: all that the administration
// API accepts there needs no percent-encoding.
#pragma once

#include <optional>
#include <string_view>

namespace samphirespool::admin {

// The first value of the name; nothing if it is missing.
std::optional<std::string_view> query_value(std::string_view query, std::string_view name);

} // namespace samphirespool::admin
