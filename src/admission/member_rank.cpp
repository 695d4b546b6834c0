// Orders members by a hash of the key and their names.
#include "admission/member_rank.hpp"

#include "helpers/ids.hpp"

#include <algorithm>
#include <cstdint>

namespace samphirespool::admission {

namespace {

std::uint64_t weight_of(std::string_view key, std::string_view member) {
    return helpers::hash_name(std::string(key).append("|").append(member));
}

} // namespace

std::size_t rank_among(std::span<const std::string> members, std::string_view self,
                       std::string_view key) {
    const auto own = weight_of(key, self);
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(),
                      [&](const std::string& member) { return weight_of(key, member) < own; }));
}

} // namespace samphirespool::admission
