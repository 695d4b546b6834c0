// Checks the raw head of a response before h2o's client parses it.
#pragma once

#include <string_view>

namespace samphirespool::http {

// Whether a complete head has a Content-Length that is not a number, or a Transfer-Encoding other
// than chunked. Returns false while the head is incomplete. `received` may also hold part of the
// body.
bool has_malformed_head(std::string_view received);

// Returns whether the head of a response other than interim ones is complete.
bool has_complete_head(std::string_view received);

} // namespace samphirespool::http
