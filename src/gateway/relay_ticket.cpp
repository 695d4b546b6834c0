// Encodes, signs and verifies relay tickets.
#include "gateway/relay_ticket.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace samphirespool::gateway {

namespace {

constexpr int hexadecimal = 16;
constexpr std::size_t digits_per_byte = 2;
// Keeps these tags apart from those of frames.
constexpr std::string_view purpose = "samphirespool relay";

std::string to_hex(const wire::frame_tag& tag) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string result;
    for (const auto byte : tag)
        result.append({digits[byte / hexadecimal], digits[byte % hexadecimal]});
    return result;
}

std::optional<wire::frame_tag> parse_tag(std::string_view text) {
    wire::frame_tag tag{};
    if (text.size() != tag.size() * digits_per_byte)
        return std::nullopt;
    for (auto& byte : tag) {
        const auto* end = text.data() + digits_per_byte;
        const auto parsed = std::from_chars(text.data(), end, byte, hexadecimal);
        if (parsed.ec != std::errc() || parsed.ptr != end)
            return std::nullopt;
        text.remove_prefix(digits_per_byte);
    }
    return tag;
}

// What the tag covers before the body. None of the parts contains a line break.
std::string signed_head(std::string_view content, const http::server_request& request) {
    std::string result;
    for (const auto part :
         {purpose, content, request.method, request.authority, request.path, request.query})
        result.append(part).append("\n");
    return result;
}

// Removes the number after the last comma.
template <class Number>
bool pop_number(std::string_view& text, Number& number) {
    const auto comma = text.rfind(',');
    if (comma == std::string_view::npos)
        return false;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + comma + 1, end, number);
    text = text.substr(0, comma);
    return parsed.ec == std::errc() && parsed.ptr == end;
}

std::span<const std::uint8_t> as_bytes(std::string_view text) {
    return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

} // namespace

std::string relay_signer::sign(const relay_ticket& ticket,
                               const http::server_request& request) const {
    const auto content =
        ticket.from + "," + std::to_string(ticket.attempts) + "," + std::to_string(ticket.version);
    const auto head = signed_head(content, request);
    const std::array parts{as_bytes(head), as_bytes(request.body)};
    return content + "," + to_hex(this->signer.sign(parts));
}

std::optional<relay_ticket> relay_signer::verify(std::string_view text,
                                                 const http::server_request& request) const {
    const auto tag_at = text.rfind(',');
    if (tag_at == std::string_view::npos)
        return std::nullopt;
    const auto content = text.substr(0, tag_at);
    const auto tag = parse_tag(text.substr(tag_at + 1));
    if (!tag)
        return std::nullopt;
    const auto head = signed_head(content, request);
    const std::array parts{as_bytes(head), as_bytes(request.body)};
    if (!this->signer.verify(parts, *tag))
        return std::nullopt;
    // Names may contain commas, so the numbers are read from the end.
    auto rest = content;
    relay_ticket ticket;
    if (!pop_number(rest, ticket.version) || !pop_number(rest, ticket.attempts))
        return std::nullopt;
    ticket.from = rest;
    return ticket;
}

} // namespace samphirespool::gateway
