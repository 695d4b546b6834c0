// Parsing of raw header lines.
#pragma once

#include <algorithm>
#include <cctype>
#include <string_view>

namespace samphirespool::http {

// Whether the line is the header field with this name, which must be in lower case.
inline bool is_field(std::string_view line, std::string_view name) {
    if (line.size() <= name.size() || line[name.size()] != ':')
        return false;
    return std::equal(name.begin(), name.end(), line.begin(), [](char expected, char actual) {
        return expected == std::tolower(static_cast<unsigned char>(actual));
    });
}

// The value without surrounding white space.
inline std::string_view field_value(std::string_view line) {
    const auto begin = line.find_first_not_of(" \t", line.find(':') + 1);
    if (begin == std::string_view::npos)
        return {};
    return line.substr(begin, line.find_last_not_of(" \t") - begin + 1);
}

} // namespace samphirespool::http
