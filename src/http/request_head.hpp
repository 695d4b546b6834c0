// Checks the raw head of a request for request smuggling. h2o accepts ambiguous heads, which two
// parties can parse differently: bytes that one treats as the body, the other would serve as a
// request.
#pragma once

#include "http/message.hpp"

#include <cstdint>
#include <string_view>

namespace samphirespool::http {

// Reasons for rejecting the head of a request.
enum class head_fault : std::uint8_t {
    none,
    // Both Content-Length and Transfer-Encoding.
    length_and_encoding,
    repeated_length,
    no_host,
    repeated_host,
    bare_line_feed,
    // A header field continued on the next line.
    folded_field,
};

// Returns the first fault of the head. `received` starts with the head; anything after the empty
// line that ends it is ignored.
head_fault find_head_fault(std::string_view received);

// Description for error messages.
std::string_view to_string(head_fault fault);

// The parts of a head without faults. The views point into it.
struct request_head {
    std::string_view method;
    std::string_view authority;
    // Path and query.
    std::string_view target;
    header_list headers;
};

request_head parse_head(std::string_view head);

} // namespace samphirespool::http
