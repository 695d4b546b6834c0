// Filters header fields and formats durations for targets.
#include "router/target_headers.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace samphirespool::router {

namespace {

constexpr std::array<std::string_view, 16> removed_headers{
    "authorization",    "connection", "content-length", "expect",       "host",
    "keep-alive",       "te",         "trailer",        "upgrade",      "x-chat-key",
    "x-deadline-ms",    "x-outcome",  "x-priority",     "x-request-id", "x-resume-tokens",
    "transfer-encoding"};

} // namespace

http::header_list target_headers(const http::header_list& received) {
    http::header_list forwarded;
    forwarded.reserve(received.size() + 4);
    for (const auto& field : received)
        if (std::find(removed_headers.begin(), removed_headers.end(), field.name) ==
            removed_headers.end())
            forwarded.push_back(field);
    return forwarded;
}

std::string to_milliseconds_text(helpers::duration time) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    return std::to_string(std::max<std::int64_t>(ms, 1));
}

} // namespace samphirespool::router
