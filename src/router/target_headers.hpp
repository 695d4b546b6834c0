// Header fields of requests to targets.
#pragma once

#include "helpers/ids.hpp"
#include "helpers/time.hpp"
#include "http/message.hpp"

#include <string>

namespace samphirespool::router {

// Returns the caller's header fields without those that apply only to its connection or are meant
// for the router.
http::header_list target_headers(const http::header_list& received);

// Rounds down to whole milliseconds, at least 1.
std::string to_milliseconds_text(helpers::duration time);

} // namespace samphirespool::router
