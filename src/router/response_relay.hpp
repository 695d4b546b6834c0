// Relays a target's response to the caller. Plain responses are buffered up to a limit and sent
// once complete, so that a truncated one can be retried without the caller noticing. Event streams
// are forwarded as they arrive, in whole events, up to their end mark "data: [DONE]".
#pragma once

#include "http/server.hpp"

#include <cstdint>
#include <span>
#include <string>

namespace samphirespool::router {

class response_relay {
public:
    response_relay(http::exchange& caller, std::string request_id)
        : caller(caller), request_id(std::move(request_id)) {}

    // Starts the response of one attempt, with its status and headers. `expects_events`: the
    // response is an event stream that ends with [DONE] and is split at event boundaries. Once
    // a part was sent to the caller, a further attempt continues the same response.
    void start_attempt(int status, const http::header_list& headers, bool expects_events);
    void append(std::span<const char> data);

    // Whether the response is complete. Meaningful after the target ended it without an error or
    // after the end mark was received.
    bool is_complete() const { return !this->has_events || this->saw_end_mark; }
    bool saw_end() const { return this->saw_end_mark; }
    // Whether the unfinished event exceeds max_event_bytes.
    bool exceeds_event_limit() const {
        return this->has_events && !this->saw_end_mark && this->buffer.size() > max_event_bytes;
    }

    // Sends the rest to the caller and ends the response, which must be complete.
    void finish();

    // Whether a part of the response was sent to the caller.
    bool has_started() const { return this->started; }

    // Whether another attempt can continue after the events forwarded so far.
    bool resumable() const { return this->has_events; }
    std::uint64_t events_forwarded() const { return this->forwarded; }
    int status() const { return this->current_status; }

    // Plain responses up to this size are buffered until complete; larger ones are forwarded as
    // they arrive and can no longer be retried.
    static constexpr std::size_t max_buffered_bytes = std::size_t{256} * 1024;
    static constexpr std::size_t max_event_bytes = std::size_t{1024} * 1024;

private:
    void start();
    void append_plain(std::span<const char> data);
    void append_events(std::span<const char> data);
    // Counts the complete events at the start of the text, before the end mark, and returns their
    // size in bytes with the end mark.
    std::size_t scan_events(std::string_view text);

    http::exchange& caller;
    std::string request_id;
    int current_status = 0;
    http::header_list headers;
    bool has_events = false;
    bool started = false;
    bool saw_end_mark = false;
    // Data not sent yet. Invariant: for an event stream the start of an incomplete event; else the
    // whole body so far while the response has not started, and empty afterwards.
    std::string buffer;
    std::uint64_t forwarded = 0;
};

} // namespace samphirespool::router
