// Passes a target's answer on to the caller: whole answers in one piece, so that a truncated one
// can be tried again unseen; streams as they come, in whole events, up to their end mark.
#pragma once

#include "http/server.hpp"

#include <cstdint>
#include <span>
#include <string>

namespace samphirespool::router {

class answer_relay {
public:
    answer_relay(http::exchange& caller, std::string request_id)
        : caller(caller), request_id(std::move(request_id)) {}

    // The head of an attempt's answer. `expects_events`: the answer is a stream of events that
    // ends with [DONE], and is cut at event boundaries.
    void start_attempt(int status, const http::header_list& headers, bool expects_events);
    void take(std::span<const char> data);

    // Whether what was taken is all of the answer, after the target ended it properly or after
    // the end mark was seen.
    bool is_whole() const { return !this->has_events || this->saw_end_mark; }
    bool saw_end() const { return this->saw_end_mark; }

    // Sends what is left to the caller. Only for a whole answer.
    void finish();

    // Whether the caller got a part of the answer.
    bool begun() const { return this->has_begun; }

    // Whether an attempt on another target can go on behind the events passed so far.
    bool resumable() const { return this->has_events; }
    std::uint64_t events_passed() const { return this->passed; }
    int status() const { return this->current_status; }

    // Bytes of an answer that is no stream held back for a second attempt.
    static constexpr std::size_t max_held_bytes = std::size_t{256} * 1024;
    static constexpr std::size_t max_event_bytes = std::size_t{1024} * 1024;

private:
    void begin();
    void take_events(std::span<const char> data);
    // Returns the number of bytes of whole events, up to and including the end mark.
    std::size_t scan_events(std::string_view text);

    http::exchange& caller;
    std::string request_id;
    int current_status = 0;
    http::header_list headers;
    bool has_events = false;
    bool has_begun = false;
    bool saw_end_mark = false;
    // Invariant: whole answers before has_begun; else the part of an event not ended yet.
    std::string held;
    std::uint64_t passed = 0;
};

} // namespace samphirespool::router
