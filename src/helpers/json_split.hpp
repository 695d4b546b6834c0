// Splits JSON text into the values that it consists of, without reading them. A document in which
// one value cannot be parsed, is nested too deeply, or holds a number that is too large can so be
// read value by value.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace samphirespool::helpers {

struct json_member {
    // The text between the quotes, with its escapes.
    std::string_view name;
    std::string_view value;
};

// The members of an object. Nothing if the text is no object whose quotes and brackets match.
std::optional<std::vector<json_member>> split_json_object(std::string_view text);

// The elements of an array. Nothing if the text is no array whose quotes and brackets match.
std::optional<std::vector<std::string_view>> split_json_array(std::string_view text);

// The value of the first member with this name; empty if there is none.
std::string_view find_json_member(const std::vector<json_member>& members, std::string_view name);

} // namespace samphirespool::helpers
