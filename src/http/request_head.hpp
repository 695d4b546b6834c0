// Checks of a request's head as it was received. h2o accepts heads that two parties may read
// differently, and bytes that one takes for a body would be served to the other as a request.
#pragma once

#include <cstdint>
#include <string_view>

namespace samphirespool::http {

enum class head_fault : std::uint8_t {
    none,
    length_and_encoding,
    repeated_length,
    no_host,
    repeated_host,
    bare_line_feed,
    folded_field,
};

// `received` begins with the head; what follows the empty line is not looked at.
head_fault find_head_fault(std::string_view received);

std::string_view to_string(head_fault fault);

} // namespace samphirespool::http
