// Strict parsing of the lines that frame HTTP/1.1 messages (RFC 9112).
#pragma once

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace samphirespool::http {

// Whether the line, without its end, has no control character other than tabs.
inline bool is_clean_line(std::string_view line) {
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char del = 0x7f;
    return std::none_of(line.begin(), line.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return (byte < first_printable && c != '\t') || byte == del;
    });
}

// Whether the text is a token (RFC 9110, section 5.6.2).
inline bool is_token(std::string_view text) {
    static constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
               marks.find(c) != std::string_view::npos;
    });
}

// Whether the line begins with a field name, directly followed by a colon.
inline bool has_field_name(std::string_view line) {
    const auto end = line.find(':');
    return end != std::string_view::npos && is_token(line.substr(0, end));
}

constexpr std::string_view http_1_0 = "HTTP/1.0";
constexpr std::string_view http_1_1 = "HTTP/1.1";

// Whether a line without control characters other than tabs is a request line of HTTP/1.0 or 1.1:
// a method, a target and the version, with one space between them.
inline bool is_request_line(std::string_view line) {
    const auto method_end = line.find(' ');
    const auto target_end = line.rfind(' ');
    if (method_end == target_end)
        return false;
    const auto target = line.substr(method_end + 1, target_end - method_end - 1);
    const auto version = line.substr(target_end + 1);
    return is_token(line.substr(0, method_end)) && !target.empty() &&
           target.find_first_of(" \t") == std::string_view::npos &&
           (version == http_1_0 || version == http_1_1);
}

struct status_line {
    int status = 0;
    bool is_http_1_0 = false;
};

// Parses a line without control characters other than tabs; nothing unless it is a status line of
// HTTP/1.x: the version, three digits and the reason, which may be empty, with one space between
// them (RFC 9112, section 4).
inline std::optional<status_line> parse_status_line(std::string_view line) {
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::string_view form = "HTTP/1.x 200 ";
    constexpr std::size_t status_start = 9;
    const auto is_digit = [&](std::size_t at) { return line[at] >= '0' && line[at] <= '9'; };
    if (line.size() < form.size() || !line.starts_with(version) || !is_digit(version.size()) ||
        line[status_start - 1] != ' ' || line[form.size() - 1] != ' ')
        return std::nullopt;
    status_line result;
    constexpr int decimal = 10;
    for (auto at = status_start; at < form.size() - 1; ++at) {
        if (!is_digit(at))
            return std::nullopt;
        result.status = result.status * decimal + (line[at] - '0');
    }
    result.is_http_1_0 = line.starts_with(http_1_0);
    return result;
}

// A number without sign, prefix or spaces that fits 64 bits with certainty; nothing otherwise.
inline std::optional<std::uint64_t> parse_digits(std::string_view text, std::size_t max_digits,
                                                 int base) {
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, base);
    if (text.empty() || text.size() > max_digits || parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return value;
}

// The value of a Content-Length field.
inline std::optional<std::uint64_t> parse_length(std::string_view value) {
    constexpr std::size_t max_digits = 18;
    constexpr int decimal = 10;
    return parse_digits(value, max_digits, decimal);
}

// The size in the first line of a chunk, which may be followed by extensions.
inline std::optional<std::uint64_t> parse_chunk_size(std::string_view line) {
    constexpr std::size_t max_digits = 16;
    constexpr int hexadecimal = 16;
    return parse_digits(line.substr(0, line.find(';')), max_digits, hexadecimal);
}

} // namespace samphirespool::http
