// Lookup of header fields.
#include "http/message.hpp"

#include <algorithm>
#include <cctype>

namespace samphirespool::http {

namespace {

bool equal_ignoring_case(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

} // namespace

std::optional<std::string_view> find_header(const header_list& headers, std::string_view name) {
    for (const auto& field : headers)
        if (equal_ignoring_case(field.name, name))
            return field.value;
    return std::nullopt;
}

} // namespace samphirespool::http
