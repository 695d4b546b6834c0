// An order of the gateways that differs for each key and is the same on all of them, so that they
// can divide something by their member lists without messages.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace samphirespool::admission {

// Returns how many of the members precede `self` in the order of the key.
std::size_t rank_among(std::span<const std::string> members, std::string_view self,
                       std::string_view key);

} // namespace samphirespool::admission
