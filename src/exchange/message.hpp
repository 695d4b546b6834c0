// What gateways tell each other: how many requests each has on each target and what became of its
// earlier ones there, and what they have read from the feeds.
#pragma once

#include "admission/fleet_outliers.hpp"
#include "discovery/feed.hpp"
#include "helpers/time.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace samphirespool::exchange {

constexpr std::size_t feed_count = 4;

struct target_count {
    // Of one life of a target; see discovery::known_target.
    std::uint32_t incarnation_hash = 0;
    // In progress.
    std::uint32_t in_flight = 0;
    // Lately, of all who are counted.
    admission::result_counts results;
    // The same of the asker's data centre; only in answers to followers.
    admission::result_counts same_data_centre;

    friend bool operator==(const target_count&, const target_count&) = default;
};

using target_counts = std::vector<target_count>;

// From a gateway to its hub, or from a hub to that of another group.
struct report {
    std::uint32_t round = 0;
    // The sender is a hub, and its counts are those of its whole group.
    bool for_group = false;
    // Up to where the sender knows each feed, by collection.
    std::array<std::uint64_t, feed_count> revisions{};
    target_counts loads;
};

// What a feed brought since the revision that a report stated.
struct feed_update {
    discovery::collection collection = discovery::collection::configuration;
    // Since when the sender has heard nothing from the source itself.
    helpers::duration age{};
    std::uint64_t revision = 0;
    // False if changes are missing, because the sender does not know that far back.
    bool is_complete = false;
    std::vector<discovery::feed_object> changes;
};

struct reply {
    // Of the report.
    std::uint32_t round = 0;
    // In answers to other hubs only from the first of all hubs.
    std::vector<feed_update> feeds;
    // Of the whole fleet, or of the group in answers to other hubs; the largest ones and those that
    // fail.
    target_counts loads;
    // No target that is left out has more requests in progress.
    std::uint32_t max_unlisted_in_flight = 0;
};

} // namespace samphirespool::exchange
