// Percent encoding of names in the paths and queries of requests.
#pragma once

#include <string>
#include <string_view>

namespace samphirespool::helpers {

// Keeps letters, digits and -._~ and encodes all other bytes.
std::string percent_encode(std::string_view text);

} // namespace samphirespool::helpers
