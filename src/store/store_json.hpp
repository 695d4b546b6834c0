// JSON bodies of the platform's object API.
#pragma once

#include "store/object_store.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphirespool::store {

// Body of a PUT request.
std::string write_put_body(std::string_view value);

// Parsers of response bodies; each returns nothing if the body is malformed.
std::optional<object> parse_object(std::string_view body);
std::optional<object_version> parse_version(std::string_view body);
std::optional<std::vector<object>> parse_object_list(std::string_view body);
std::optional<std::vector<helpers::vm_entry>> parse_vm_list(std::string_view body);

// The inverse of parse_vm_list.
std::string write_vm_list(const std::vector<helpers::vm_entry>& vms);

} // namespace samphirespool::store
