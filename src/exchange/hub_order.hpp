// Which gateway is the hub of a group: computed from the list of members alone, so that gateways
// with the same list agree without a message.
#pragma once

#include "helpers/endpoint.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphirespool::exchange {

struct member {
    std::string name;
    std::string data_centre;
    helpers::endpoint address;
    // Megabits a second of its link times its share of a core; larger ones are hubs first.
    std::uint32_t capacity = 0;

    friend bool operator==(const member&, const member&) = default;
};

// Members of one group, the first candidate for the hub first.
using member_group = std::vector<member>;

// Whether the first is a hub before the second.
bool precedes_as_hub(const member& a, const member& b);

// A small fleet is one group; in a larger one each data centre has its own.
std::map<std::string, member_group> group_members(std::span<const member> members);

// One hub carries this many members at ten reports a second with a small part of its processor.
constexpr std::size_t max_single_group_members = 20;

} // namespace samphirespool::exchange
