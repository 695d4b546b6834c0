// Receives the requests of one connection, one at a time: checks their framing and limits from the
// first byte on, keeps head and body apart from what follows, and states how much memory a request
// takes and will take.
#pragma once

#include "http/message_framing.hpp"
#include "http/server.hpp"
#include "kernel/error.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace samphirespool::http {

class request_intake {
public:
    enum class progress : std::uint8_t {
        // More bytes are needed.
        incomplete,
        // The head is complete, and the body is not. Reported once.
        head_complete,
        complete,
        // The request cannot be served; see fault().
        invalid,
    };

    // Takes the bytes of the current request from the front of `data`.
    progress append(std::string_view& data, const request_limits& limits);
    const kernel::error& fault() const { return this->last_fault; }

    // No byte of a request was received since the last one was taken.
    bool is_idle() const { return this->is_empty; }
    bool is_complete() const { return this->message.is_complete; }
    bool has_head() const { return !this->message.head.empty(); }
    const std::string& head() const { return this->message.head; }
    // Size of the body that the head announces; nothing if it is sent in chunks.
    std::optional<std::uint64_t> announced_length() const { return this->message.length; }
    std::size_t body_bytes() const { return this->message.body.size(); }
    // The caller waits for an interim response before it sends the body.
    bool expects_continue() const;

    // The head without the fields that frame the body, which is passed on by itself.
    std::string head_without_framing() const;
    // The body; the next bytes are those of another request.
    std::string take();
    // Drops the request and what it holds. No bytes may be appended any more.
    void discard();

    // Makes room for the body, so that it is not moved while it grows.
    void reserve_body(std::size_t bytes) { this->message.body.reserve(bytes); }
    // Memory that the request takes now, with the copies of its head that serving it makes.
    std::size_t held() const;
    // Memory that it takes once `more` further bytes were received.
    std::size_t held_after(std::size_t more, const request_limits& limits) const;
    // Makes room for so many further bytes, as counted by held_after().
    void make_room(std::size_t more, const request_limits& limits);

private:
    progress fail(kernel::error_kind kind, std::string_view detail);
    std::size_t body_capacity_after(std::size_t more, const request_limits& limits) const;

    message_framing framing;
    received_message message;
    kernel::error last_fault;
    bool is_empty = true;
};

} // namespace samphirespool::http
