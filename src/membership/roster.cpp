// Computes shares and converts rosters to and from JSON text.
#include "membership/roster.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace samphirespool::membership {

namespace {

using nlohmann::json;

std::uint32_t share_of_member(const std::vector<roster_entry>& members, helpers::router_id id,
                              std::uint32_t capacity) {
    const auto found = std::lower_bound(
        members.begin(), members.end(), id,
        [](const roster_entry& entry, helpers::router_id desired) { return entry.id < desired; });
    if (found == members.end() || found->id != id)
        return 0;
    const auto index = static_cast<std::uint64_t>(found - members.begin());
    return share_of(index, members.size(), capacity);
}

json encode(const std::vector<roster_entry>& members) {
    auto list = json::array();
    for (const auto& entry : members)
        list.push_back({{"id", entry.id.value},
                        {"life", entry.incarnation.value},
                        {"data_centre", entry.data_centre}});
    return list;
}

std::vector<roster_entry> decode(const json& list) {
    std::vector<roster_entry> members;
    for (const auto& entry : list)
        members.push_back({helpers::router_id{entry.at("id").get<std::uint64_t>()},
                           helpers::incarnation{entry.at("life").get<std::uint64_t>()},
                           entry.at("data_centre").get<std::string>()});
    return members;
}

bool is_sorted_and_unique(const std::vector<roster_entry>& members) {
    const auto not_below = [](const roster_entry& a, const roster_entry& b) {
        return a.id >= b.id;
    };
    return std::adjacent_find(members.begin(), members.end(), not_below) == members.end();
}

} // namespace

const roster_entry* roster::find(helpers::router_id id) const {
    const auto found = std::find_if(this->members.begin(), this->members.end(),
                                    [&](const roster_entry& entry) { return entry.id == id; });
    return found == this->members.end() ? nullptr : &*found;
}

std::uint32_t usable_share(const roster& current, helpers::router_id id, std::uint32_t capacity) {
    const auto share = share_of_member(current.members, id, capacity);
    if (current.settled)
        return share;
    return std::min(share, share_of_member(current.previous, id, capacity));
}

std::string to_text(const roster& content) {
    const json document = {{"version", content.version},
                           {"settled", content.settled},
                           {"previous", encode(content.previous)},
                           {"members", encode(content.members)}};
    return document.dump();
}

std::optional<roster> parse_roster(std::string_view text) {
    try {
        const auto document = json::parse(text);
        roster content;
        content.version = document.at("version").get<std::uint64_t>();
        content.settled = document.at("settled").get<bool>();
        content.previous = decode(document.at("previous"));
        content.members = decode(document.at("members"));
        const auto valid = content.version > 0 && is_sorted_and_unique(content.previous) &&
                           is_sorted_and_unique(content.members);
        return valid ? std::optional(std::move(content)) : std::nullopt;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace samphirespool::membership
