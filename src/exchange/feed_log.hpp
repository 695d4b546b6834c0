// The most recent changes of a feed, for gateways at an older revision. Bounded in size; the oldest
// changes are dropped first.
#pragma once

#include "discovery/feed.hpp"

#include <deque>
#include <optional>
#include <vector>

namespace samphirespool::exchange {

class feed_log {
public:
    // Restarts the log after the whole collection was read at this revision; earlier changes are
    // not available.
    void reset(std::uint64_t revision);
    void append(const discovery::feed_page& page);

    // Returns the latest state of each object that changed after the revision, or nothing if the
    // log does not reach back that far.
    std::optional<std::vector<discovery::feed_object>> changes_since(std::uint64_t revision) const;

    static constexpr std::size_t max_bytes = std::size_t{1} << 20;

private:
    struct entry {
        std::uint64_t revision;
        std::vector<discovery::feed_object> objects;
        std::size_t bytes;
    };

    std::deque<entry> entries;
    // Invariant: `entries` holds every change after this revision.
    std::uint64_t base_revision = 0;
    bool has_base = false;
    std::size_t bytes = 0;
};

} // namespace samphirespool::exchange
