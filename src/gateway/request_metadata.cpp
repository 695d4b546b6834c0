// Parses and filters header fields.
#include "gateway/request_metadata.hpp"

#include "gateway/relay_ticket.hpp"
#include "helpers/ids.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <span>

namespace samphirespool::gateway {

namespace {

constexpr std::string_view bearer_scheme = "Bearer ";
constexpr std::uint64_t max_deadline_ms = 86'400'000;

// Fields that apply to one connection or are set anew for each hop.
constexpr std::array<std::string_view, 11> hop_by_hop_headers{"connection",
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

// Removes and returns the text before the next separator.
std::string_view next_field(std::string_view& text, char separator) {
    const auto end = text.find(separator);
    const auto field = trimmed(text.substr(0, end));
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    return field;
}

bool is_hop_by_hop(std::string_view name) {
    return std::find(hop_by_hop_headers.begin(), hop_by_hop_headers.end(), name) !=
           hop_by_hop_headers.end();
}

bool is_set_by_gateway(std::string_view name, const header_names& names) {
    return name == names.deadline || name == names.organisation || name == names.expected_target ||
           name == names.urgency || name == "authorization" ||
           name.starts_with(relay_fields::prefix) ||
           std::find(names.reserved.begin(), names.reserved.end(), name) != names.reserved.end();
}

// Fields that the Connection field lists are hop-by-hop as well (RFC 9110, 7.6.1).
bool is_listed_in_connection(const http::header_list& fields, std::string_view name) {
    return std::any_of(fields.begin(), fields.end(), [name](const http::header_field& field) {
        if (field.name != "connection")
            return false;
        for (std::string_view rest = field.value; !rest.empty();)
            if (next_field(rest, ',') == name)
                return true;
        return false;
    });
}

} // namespace

std::vector<placement::prompt_segment> parse_prompt_segments(std::string_view text) {
    constexpr int hexadecimal = 16;
    std::vector<placement::prompt_segment> segments;
    while (!text.empty()) {
        auto entry = next_field(text, ',');
        const auto id = parse_number<std::uint64_t>(next_field(entry, ':'), hexadecimal);
        const auto tokens = parse_number<std::uint32_t>(trimmed(entry));
        if (id && tokens)
            segments.push_back({*id, *tokens});
    }
    return segments;
}

std::optional<admission::occupancy_report> parse_occupancy_report(std::string_view text) {
    const auto running = parse_number<std::uint32_t>(next_field(text, ','));
    const auto waiting = parse_number<std::uint32_t>(next_field(text, ','));
    const auto slots = parse_number<std::uint32_t>(next_field(text, ','));
    if (!running || !waiting || !slots)
        return std::nullopt;
    admission::occupancy_report report{*running, *waiting, *slots, std::nullopt};
    // An unreadable speed leaves the other figures valid.
    const auto percent = parse_number<std::uint32_t>(next_field(text, ','));
    if (percent && *percent > 0)
        report.speed_percent = std::min(*percent, admission::max_speed_percent);
    return report;
}

request_metadata read_request_metadata(const http::server_request& request,
                                       const header_names& names) {
    request_metadata metadata;
    std::string_view tokens;
    for (const auto& field : request.headers) {
        if (field.name == names.request_id) {
            metadata.id = field.value;
        } else if (field.name == names.deadline) {
            const auto remaining = parse_number<std::uint64_t>(trimmed(field.value));
            if (remaining)
                metadata.deadline =
                    std::chrono::milliseconds(std::min(*remaining, max_deadline_ms));
        } else if (field.name == names.prompt_segments) {
            metadata.prompt.segments = parse_prompt_segments(field.value);
        } else if (field.name == names.token_count) {
            tokens = field.value;
        } else if (field.name == names.last_event_id) {
            metadata.last_event_id = field.value;
        } else if (field.name == names.resumed_attempt) {
            metadata.resumed_attempt = trimmed(field.value);
        } else if (field.name == "authorization" && field.value.starts_with(bearer_scheme)) {
            metadata.api_key = trimmed(std::string_view(field.value).substr(bearer_scheme.size()));
        }
    }
    const auto prompt_tokens = parse_number<std::uint32_t>(next_field(tokens, ','));
    metadata.prompt.output_tokens = parse_number<std::uint32_t>(trimmed(tokens)).value_or(0);
    if (metadata.prompt.segments.empty() && prompt_tokens)
        metadata.prompt.segments.push_back({0, *prompt_tokens});
    return metadata;
}

std::uint64_t request_digest(const http::server_request& request, std::string_view organisation) {
    // The digests of the parts have a fixed length, so that no two lists of parts are taken for
    // each other.
    const std::array parts{
        helpers::hash_name(organisation),      helpers::hash_name(request.method),
        helpers::hash_name(request.authority), helpers::hash_name(request.path),
        helpers::hash_name(request.query),     helpers::hash_name(request.body)};
    const auto bytes = std::as_bytes(std::span(parts));
    return helpers::hash_name({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
}

http::header_list forwarded_headers(const http::header_list& from, const header_names& names) {
    http::header_list result;
    result.reserve(from.size() + 4);
    for (const auto& field : from)
        if (!is_hop_by_hop(field.name) && !is_set_by_gateway(field.name, names) &&
            !is_listed_in_connection(from, field.name))
            result.push_back(field);
    return result;
}

http::header_list returned_headers(const http::header_list& from) {
    http::header_list result;
    result.reserve(from.size());
    for (const auto& field : from)
        if (!is_hop_by_hop(field.name) && field.name != "date" && field.name != "server" &&
            !field.name.starts_with(relay_fields::prefix))
            result.push_back(field);
    return result;
}

http::header_list relayed_headers(const http::header_list& from, const header_names& names) {
    http::header_list result;
    result.reserve(from.size() + 2);
    for (const auto& field : from)
        if (!is_hop_by_hop(field.name) && field.name != names.deadline &&
            !field.name.starts_with(relay_fields::prefix) &&
            !is_listed_in_connection(from, field.name))
            result.push_back(field);
    return result;
}

} // namespace samphirespool::gateway
