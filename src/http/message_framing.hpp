// Checks the bytes of a caller's connection, or of a chunked response, before h2o reads them. h2o's
// chunk decoder takes `0x2` for the last chunk and accepts lines that end in a bare line feed;
// another party on the path may parse such bytes differently. Separates a request's head and body.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace samphirespool::http {

// A request as far as it was received.
struct received_message {
    // Complete, with the empty line that ends it; empty before.
    std::string head;
    // Decoded if it was sent in chunks.
    std::string body;
    // Size of the body, unless it is sent in chunks. Set with the head.
    std::optional<std::uint64_t> length;
    bool is_complete = false;
};

class message_framing {
public:
    // Expects the requests of a connection.
    message_framing() = default;
    // Expects one chunked body. Bytes after it are not checked.
    static message_framing of_chunked_body();

    // Checks the next bytes. Returns false, also for all later calls, once they violate the
    // grammar.
    bool append(std::string_view data);
    // Like append(), and moves the bytes of one request from the front of `data` to `message`.
    // Stops after the head, and at the end of the request.
    bool take(std::string_view& data, received_message& message);
    // Whether append() has failed within the trailers.
    bool has_invalid_trailer() const { return this->is_trailer_invalid; }
    // Bytes of a head that is not complete, and of the empty lines before it.
    std::size_t head_bytes() const {
        return this->current == part::head ? this->buffer.size() + this->empty_line_bytes : 0;
    }
    // Memory for a head or line that is not complete.
    std::size_t held_bytes() const { return this->buffer.capacity(); }
    // Whether the bytes so far end with a complete message.
    bool is_between_messages() const {
        return this->current == this->next_message && this->buffer.empty();
    }

private:
    enum class part : std::uint8_t {
        head,
        sized_body,
        chunk_size,
        chunk_data,
        chunk_end,
        trailer,
        unchecked,
        invalid,
    };

    // Consumes a part of the data. Returns false if it is invalid. `message` may be null.
    bool consume(std::string_view& data, received_message* message);
    // Moves bytes up to the end of the line to `line`. Returns whether the line is complete.
    bool take_line(std::string_view& data);
    bool end_line(received_message* message);
    bool end_head(received_message* message);
    bool end_chunk_size();
    bool end_trailer(std::string_view line);
    void skip(std::string_view& data, received_message* message);

    part current = part::head;
    // What follows a body.
    part next_message = part::head;
    // The head so far, or the line so far of the framing of a chunked body.
    std::string buffer;
    // Start of the current line in `buffer`.
    std::size_t line_start = 0;
    std::size_t trailer_bytes = 0;
    bool is_trailer_invalid = false;
    // Of the empty lines before the current head.
    std::size_t empty_line_bytes = 0;
    // Bytes left of the body or chunk.
    std::uint64_t left = 0;
};

} // namespace samphirespool::http
