// Grouping of members and their order within a group.
#include "exchange/hub_order.hpp"

#include "helpers/ids.hpp"

#include <algorithm>
#include <tuple>

namespace samphirespool::exchange {

bool precedes_as_hub(const member& a, const member& b) {
    // Ties are broken by hash, so that the first names of a numbered series are not always the
    // hubs.
    return std::tuple(b.capacity, helpers::hash_name(a.name), a.name) <
           std::tuple(a.capacity, helpers::hash_name(b.name), b.name);
}

std::map<std::string, member_group> group_members(std::span<const member> members) {
    const bool is_single = members.size() <= max_single_group_members;
    std::map<std::string, member_group> groups;
    for (const auto& each : members)
        groups[is_single ? std::string() : each.data_centre].push_back(each);
    for (auto& [name, group] : groups)
        std::sort(group.begin(), group.end(), precedes_as_hub);
    return groups;
}

} // namespace samphirespool::exchange
