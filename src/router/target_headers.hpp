// Header fields on their way from the caller to a target.
#pragma once

#include "helpers/ids.hpp"
#include "helpers/time.hpp"
#include "http/message.hpp"

#include <string>

namespace samphirespool::router {

// Without those that concern the caller's connection or the router alone.
http::header_list target_headers(const http::header_list& received);

// Whole milliseconds, at least 1.
std::string to_milliseconds_text(helpers::duration time);

} // namespace samphirespool::router
