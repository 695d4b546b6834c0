// Scans the lines of a request head.
#include "http/request_head.hpp"

#include "http/field_line.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <string>
#include <utility>

namespace samphirespool::http {

namespace {

constexpr std::array<std::string_view, 7> descriptions{
    "none",
    "both content-length and transfer-encoding",
    "more than one content-length",
    "no host",
    "more than one host",
    "a line ends without a carriage return",
    "a header field is folded",
};

struct field_counts {
    int lengths = 0;
    int encodings = 0;
    int hosts = 0;
    // HTTP/1.0 requests need no Host field.
    bool needs_host = true;

    void add(std::string_view line) {
        this->lengths += is_field(line, "content-length") ? 1 : 0;
        this->encodings += is_field(line, "transfer-encoding") ? 1 : 0;
        this->hosts += is_field(line, "host") ? 1 : 0;
    }

    head_fault fault() const {
        if (this->lengths > 0 && this->encodings > 0)
            return head_fault::length_and_encoding;
        if (this->lengths > 1)
            return head_fault::repeated_length;
        if (this->hosts == 0 && this->needs_host)
            return head_fault::no_host;
        return this->hosts > 1 ? head_fault::repeated_host : head_fault::none;
    }
};

} // namespace

head_fault find_head_fault(std::string_view received) {
    field_counts counts;
    bool is_request_line = true;
    while (true) {
        const auto end = received.find('\n');
        if (end == std::string_view::npos)
            return counts.fault();
        if (end == 0 || received[end - 1] != '\r')
            return head_fault::bare_line_feed;
        const auto line = received.substr(0, end - 1);
        received.remove_prefix(end + 1);
        if (line.empty() && !is_request_line)
            return counts.fault();
        if (!line.empty() && (line.front() == ' ' || line.front() == '\t'))
            return head_fault::folded_field;
        if (is_request_line)
            counts.needs_host = !line.ends_with("HTTP/1.0");
        else
            counts.add(line);
        is_request_line = line.empty() && is_request_line;
    }
}

request_head parse_head(std::string_view head) {
    constexpr std::string_view line_end = "\r\n";
    request_head result;
    const auto request_line = head.substr(0, head.find(line_end));
    const auto method_end = request_line.find(' ');
    const auto target_end = request_line.rfind(' ');
    result.method = request_line.substr(0, method_end);
    result.target = request_line.substr(method_end + 1, target_end - method_end - 1);
    auto rest = head.substr(request_line.size() + line_end.size());
    while (rest != line_end && !rest.empty()) {
        const auto line = rest.substr(0, rest.find(line_end));
        rest.remove_prefix(std::min(rest.size(), line.size() + line_end.size()));
        std::string name(line.substr(0, line.find(':')));
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        if (name == "host")
            result.authority = field_value(line);
        result.headers.push_back({std::move(name), std::string(field_value(line))});
    }
    return result;
}

std::string_view to_string(head_fault fault) {
    return descriptions.at(static_cast<std::size_t>(fault));
}

} // namespace samphirespool::http
