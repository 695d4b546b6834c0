// Cuts event streams at event boundaries and drops what comes after the end mark.
#include "router/answer_relay.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace samphirespool::router {

namespace {

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view end_mark = "data: [DONE]";

// Headers that describe the connection to the target, or that the router sets itself.
constexpr std::array<std::string_view, 9> dropped_headers{
    "connection", "content-length", "date",         "keep-alive", "server",
    "trailer",    "upgrade",        "x-request-id", "x-outcome"};

bool is_dropped(std::string_view name) {
    return name == "transfer-encoding" ||
           std::find(dropped_headers.begin(), dropped_headers.end(), name) != dropped_headers.end();
}

} // namespace

void answer_relay::start_attempt(int status, const http::header_list& received,
                                 bool expects_events) {
    this->held.clear();
    if (this->has_begun)
        return;
    this->current_status = status;
    this->has_events = expects_events;
    this->headers.clear();
    for (const auto& field : received)
        if (!is_dropped(field.name))
            this->headers.push_back(field);
    this->headers.push_back({"x-request-id", this->request_id});
    this->headers.push_back({"x-outcome", "answered"});
}

void answer_relay::begin() {
    if (this->has_begun)
        return;
    this->has_begun = true;
    this->caller.begin(this->current_status, std::move(this->headers));
}

void answer_relay::take(std::span<const char> data) {
    if (this->has_events) {
        this->take_events(data);
        return;
    }
    if (this->has_begun) {
        this->caller.write(data);
        return;
    }
    this->held.append(data.data(), data.size());
    if (this->held.size() <= max_held_bytes)
        return;
    this->begin();
    this->caller.write(this->held);
    this->held.clear();
}

void answer_relay::take_events(std::span<const char> data) {
    if (this->saw_end_mark)
        return;
    if (!this->held.empty()) {
        this->held.append(data.data(), data.size());
        data = this->held;
    }
    const std::string_view text(data.data(), data.size());
    const auto whole = this->scan_events(text);
    if (whole > 0) {
        this->begin();
        this->caller.write(data.subspan(0, whole));
    }
    if (this->held.empty())
        this->held.assign(text.substr(whole));
    else
        this->held.erase(0, whole);
}

std::size_t answer_relay::scan_events(std::string_view text) {
    std::size_t start = 0;
    while (!this->saw_end_mark) {
        const auto end = text.find(event_end, start);
        if (end == std::string_view::npos)
            break;
        this->saw_end_mark = text.substr(start).starts_with(end_mark);
        start = end + event_end.size();
        if (!this->saw_end_mark)
            ++this->passed;
    }
    return start;
}

void answer_relay::finish() {
    if (!this->has_begun && !this->has_events) {
        this->has_begun = true;
        this->caller.respond(this->current_status, std::move(this->headers), this->held);
        return;
    }
    this->begin();
    this->caller.finish();
}

} // namespace samphirespool::router
