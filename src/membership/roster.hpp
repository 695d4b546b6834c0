// The roster of a region: the routers among which the capacity of the region's targets is divided.
// It is kept in the store, and a change takes two versions. While the roster is unsettled, every
// router counts the smaller of a member's old and new share, so that the shares of all routers,
// whichever version each has, never add up to more than the capacity.
#pragma once

#include "helpers/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphirespool::membership {

struct roster_entry {
    helpers::router_id id;
    helpers::incarnation incarnation;
    std::string data_centre;

    friend bool operator==(const roster_entry&, const roster_entry&) = default;
};

struct roster {
    // Grows by one with every change; 0 means that there is none.
    std::uint64_t version = 0;
    bool settled = true;
    // Invariant: both lists are sorted by id; `previous` is empty when settled.
    std::vector<roster_entry> previous;
    std::vector<roster_entry> members;

    const roster_entry* find(helpers::router_id id) const;

    friend bool operator==(const roster&, const roster&) = default;
};

// Share, in slots, of the member with the given index among `count` members. The shares of all
// members add up to the capacity.
constexpr std::uint32_t share_of(std::uint64_t index, std::uint64_t count, std::uint64_t capacity) {
    return static_cast<std::uint32_t>(((index + 1) * capacity / count) -
                                      (index * capacity / count));
}

// Share, in slots, that the router has of a target of the given capacity.
std::uint32_t usable_share(const roster& current, helpers::router_id id, std::uint32_t capacity);

std::string to_text(const roster& content);
// Returns nullopt if the text is not a valid roster.
std::optional<roster> parse_roster(std::string_view text);

} // namespace samphirespool::membership
