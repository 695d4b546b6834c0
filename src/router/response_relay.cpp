// Splits event streams at event boundaries and drops data after the end mark.
#include "router/response_relay.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace samphirespool::router {

namespace {

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view end_mark = "data: [DONE]";

// Headers that apply only to the connection to the target, or that the router sets itself.
constexpr std::array<std::string_view, 9> dropped_headers{
    "connection", "content-length", "date",         "keep-alive", "server",
    "trailer",    "upgrade",        "x-request-id", "x-outcome"};

bool is_dropped(std::string_view name) {
    return name == "transfer-encoding" ||
           std::find(dropped_headers.begin(), dropped_headers.end(), name) != dropped_headers.end();
}

} // namespace

void response_relay::start_attempt(int status, const http::header_list& received,
                                   bool expects_events) {
    this->buffer.clear();
    if (this->started)
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

void response_relay::start() {
    if (this->started)
        return;
    this->started = true;
    this->caller.begin(this->current_status, std::move(this->headers));
}

void response_relay::append(std::span<const char> data) {
    if (this->has_events)
        this->append_events(data);
    else if (this->started)
        this->caller.write(data);
    else
        this->append_plain(data);
    this->caller.hold(this->buffer.capacity());
}

void response_relay::append_plain(std::span<const char> data) {
    this->buffer.append(data.data(), data.size());
    if (this->buffer.size() <= max_buffered_bytes)
        return;
    this->start();
    this->caller.write(this->buffer);
    this->buffer = {};
}

void response_relay::append_events(std::span<const char> data) {
    if (this->saw_end_mark)
        return;
    if (!this->buffer.empty()) {
        this->buffer.append(data.data(), data.size());
        data = this->buffer;
    }
    const std::string_view text(data.data(), data.size());
    const auto complete = this->scan_events(text);
    if (complete > 0) {
        this->start();
        this->caller.write(data.subspan(0, complete));
    }
    if (this->buffer.empty())
        this->buffer.assign(text.substr(complete));
    else
        this->buffer.erase(0, complete);
}

std::size_t response_relay::scan_events(std::string_view text) {
    std::size_t start = 0;
    while (!this->saw_end_mark) {
        const auto end = text.find(event_end, start);
        if (end == std::string_view::npos)
            break;
        this->saw_end_mark = text.substr(start).starts_with(end_mark);
        start = end + event_end.size();
        if (!this->saw_end_mark)
            ++this->forwarded;
    }
    return start;
}

void response_relay::finish() {
    if (!this->started && !this->has_events) {
        this->started = true;
        this->caller.respond(this->current_status, std::move(this->headers), this->buffer);
        return;
    }
    this->start();
    this->caller.finish();
}

} // namespace samphirespool::router
