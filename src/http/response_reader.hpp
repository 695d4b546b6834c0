// Judges the bytes of one response by the grammar (RFC 9110, RFC 9112) as they arrive, before h2o's
// client parses them: interim heads, the final head, and a body in chunks with its trailers.
#pragma once

#include "http/message_framing.hpp"
#include "kernel/response_fault.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace samphirespool::http {

class response_reader {
public:
    // The response to a HEAD request has no body, whatever its head says.
    explicit response_reader(bool is_to_head_request) : is_to_head_request(is_to_head_request) {}

    // Judges the next bytes. Once it has returned a fault, it must not be called again.
    kernel::response_fault append(std::string_view data);

    // Whether the final head is complete.
    bool has_head() const { return this->current == part::body; }

    // How the end of the body is found; known with the final head.
    enum class body_end : std::uint8_t {
        none,
        length,
        chunks,
        // The close of the connection.
        close,
    };
    body_end end() const { return this->found_end; }

    // Of a response, including the interim responses before it.
    static constexpr std::size_t max_head_bytes = std::size_t{64} << 10;

private:
    enum class part : std::uint8_t {
        status_line,
        fields,
        body,
    };

    // Moves bytes up to the end of the line to `line`. Returns whether the line is complete.
    bool take_line(std::string_view& data);
    kernel::response_fault judge_line();
    kernel::response_fault judge_status_line(std::string_view line);
    kernel::response_fault judge_field(std::string_view line);
    kernel::response_fault end_head();

    bool is_to_head_request;
    part current = part::status_line;
    std::string line;
    std::size_t head_bytes = 0;
    // Of the head that is being read.
    int status = 0;
    bool is_http_1_0 = false;
    bool has_length = false;
    bool is_chunked = false;
    body_end found_end = body_end::none;
    message_framing chunks = message_framing::of_chunked_body();
};

} // namespace samphirespool::http
