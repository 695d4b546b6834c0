// Checks of an answer's head before h2o's client parses it.
#pragma once

#include <string_view>

namespace samphirespool::http {

// Whether the head, as far as it was received, has a length or a transfer encoding that cannot be
// read. `received` may go on with the body.
bool has_malformed_head(std::string_view received);

} // namespace samphirespool::http
