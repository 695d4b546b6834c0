// Hub election order. The order is computed from the member list alone, so that gateways with the
// same list agree on the hub of each group without exchanging messages.
#pragma once

#include "helpers/endpoint.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphirespool::exchange {

// A gateway in the fleet's member list.
struct member {
    std::string name;
    std::string data_centre;
    helpers::endpoint address;
    // Link bandwidth in Mbit/s times the share of a core. Members with more capacity precede others
    // in the hub order.
    std::uint32_t capacity = 0;
    // Where it takes requests of gateways that have no path to the targets; port 0 if nowhere.
    helpers::endpoint relay_address;

    friend bool operator==(const member&, const member&) = default;
};

// Members of one group in hub order: the first one that is reachable is the hub, to which the
// others (followers) report.
using member_group = std::vector<member>;

// Whether `a` precedes `b` in the hub order.
bool precedes_as_hub(const member& a, const member& b);

// Groups the members by data centre. A fleet of at most max_single_group_members forms one group,
// whose name is empty.
std::map<std::string, member_group> group_members(std::span<const member> members);

// A hub handles ten reports a second of this many members with a small part of its CPU.
constexpr std::size_t max_single_group_members = 20;

} // namespace samphirespool::exchange
