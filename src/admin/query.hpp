// Parameters in the query of a request. Values are not percent-decoded, since no value that the
// administration API accepts needs encoding.
#pragma once

#include <optional>
#include <string_view>

namespace samphirespool::admin {

// Returns the first value of the parameter, or nullopt if it is missing.
std::optional<std::string_view> query_value(std::string_view query, std::string_view name);

} // namespace samphirespool::admin
