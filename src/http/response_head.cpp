// Scans the header fields of a response head.
#include "http/response_head.hpp"

#include "http/field_line.hpp"

#include <algorithm>

namespace samphirespool::http {

namespace {

bool is_length(std::string_view value) {
    constexpr std::size_t max_digits = 18;
    return !value.empty() && value.size() <= max_digits &&
           std::all_of(value.begin(), value.end(), [](char c) { return c >= '0' && c <= '9'; });
}

} // namespace

bool has_malformed_head(std::string_view received) {
    const auto end = received.find("\r\n\r\n");
    if (end == std::string_view::npos)
        return false;
    auto head = received.substr(0, end + 2);
    while (!head.empty()) {
        const auto line = head.substr(0, head.find("\r\n"));
        head.remove_prefix(line.size() + 2);
        if (is_field(line, "content-length") && !is_length(field_value(line)))
            return true;
        if (is_field(line, "transfer-encoding") && field_value(line) != "chunked")
            return true;
    }
    return false;
}

bool has_complete_head(std::string_view received) {
    constexpr std::string_view head_end = "\r\n\r\n";
    constexpr std::string_view interim_start = "HTTP/1.1 1";
    while (true) {
        const auto end = received.find(head_end);
        if (end == std::string_view::npos)
            return false;
        if (!received.starts_with(interim_start))
            return true;
        received.remove_prefix(end + head_end.size());
    }
}

} // namespace samphirespool::http
