// Parses and filters header fields.
#include "gateway/request_facts.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace samphirespool::gateway {

namespace {

constexpr std::string_view key_scheme = "Bearer ";
constexpr std::uint64_t most_milliseconds = 86'400'000;

// They concern one connection, or are written anew for each.
constexpr std::array<std::string_view, 11> connection_fields{"connection",
                                                             "keep-alive",
                                                             "proxy-connection",
                                                             "te",
                                                             "trailer",
                                                             "upgrade",
                                                             "host",
                                                             "transfer-encoding",
                                                             "content-length",
                                                             "expect",
                                                             "proxy-authorization"};

template <class Number>
std::optional<Number> parse_number(std::string_view text, int base = 10) {
    Number value{};
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value, base);
    if (text.empty() || result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return value;
}

std::string_view trimmed(std::string_view text) {
    const auto begin = text.find_first_not_of(" \t");
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

// Takes the text up to the next separator off the front.
std::string_view take_field(std::string_view& text, char separator) {
    const auto end = text.find(separator);
    const auto field = trimmed(text.substr(0, end));
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    return field;
}

bool is_connection_field(std::string_view name) {
    return std::find(connection_fields.begin(), connection_fields.end(), name) !=
           connection_fields.end();
}

bool is_set_by_gateway(std::string_view name, const header_names& names) {
    return name == names.deadline || name == names.organisation || name == names.expected_target ||
           name == names.urgency || name == "authorization" ||
           std::find(names.reserved.begin(), names.reserved.end(), name) != names.reserved.end();
}

// Fields that a Connection field names belong to the connection as well.
bool is_named_by(const http::header_list& fields, std::string_view name) {
    return std::any_of(fields.begin(), fields.end(), [name](const http::header_field& field) {
        if (field.name != "connection")
            return false;
        for (std::string_view rest = field.value; !rest.empty();)
            if (take_field(rest, ',') == name)
                return true;
        return false;
    });
}

} // namespace

std::vector<placement::prompt_segment> parse_prompt_parts(std::string_view text) {
    constexpr int hexadecimal = 16;
    std::vector<placement::prompt_segment> parts;
    while (!text.empty()) {
        auto entry = take_field(text, ',');
        const auto id = parse_number<std::uint64_t>(take_field(entry, ':'), hexadecimal);
        const auto tokens = parse_number<std::uint32_t>(trimmed(entry));
        if (id && tokens)
            parts.push_back({*id, *tokens});
    }
    return parts;
}

std::optional<admission::occupancy_report> parse_load(std::string_view text) {
    const auto running = parse_number<std::uint32_t>(take_field(text, ','));
    const auto waiting = parse_number<std::uint32_t>(take_field(text, ','));
    const auto slots = parse_number<std::uint32_t>(trimmed(text));
    if (!running || !waiting || !slots)
        return std::nullopt;
    return admission::occupancy_report{*running, *waiting, *slots};
}

request_facts read_request_facts(const http::server_request& request, const header_names& names) {
    request_facts facts;
    std::string_view tokens;
    for (const auto& field : request.headers) {
        if (field.name == names.request_id) {
            facts.id = field.value;
        } else if (field.name == names.deadline) {
            const auto left = parse_number<std::uint64_t>(trimmed(field.value));
            if (left)
                facts.deadline = std::chrono::milliseconds(std::min(*left, most_milliseconds));
        } else if (field.name == names.prompt_parts) {
            facts.prompt.segments = parse_prompt_parts(field.value);
        } else if (field.name == names.token_count) {
            tokens = field.value;
        } else if (field.name == names.last_event) {
            facts.last_event = field.value;
        } else if (field.name == "authorization" && field.value.starts_with(key_scheme)) {
            facts.key = trimmed(std::string_view(field.value).substr(key_scheme.size()));
        }
    }
    const auto prompt_tokens = parse_number<std::uint32_t>(take_field(tokens, ','));
    facts.prompt.output_tokens = parse_number<std::uint32_t>(trimmed(tokens)).value_or(0);
    if (facts.prompt.segments.empty() && prompt_tokens)
        facts.prompt.segments.push_back({0, *prompt_tokens});
    return facts;
}

http::header_list forwarded_fields(const http::header_list& from, const header_names& names) {
    http::header_list result;
    result.reserve(from.size() + 4);
    for (const auto& field : from)
        if (!is_connection_field(field.name) && !is_set_by_gateway(field.name, names) &&
            !is_named_by(from, field.name))
            result.push_back(field);
    return result;
}

http::header_list returned_fields(const http::header_list& from) {
    http::header_list result;
    result.reserve(from.size());
    for (const auto& field : from)
        if (!is_connection_field(field.name) && field.name != "date" && field.name != "server")
            result.push_back(field);
    return result;
}

} // namespace samphirespool::gateway
