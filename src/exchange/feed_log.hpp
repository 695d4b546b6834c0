// The latest changes that a feed brought, to tell gateways that know less. Bounded in size; what is
// older is forgotten.
#pragma once

#include "discovery/feed.hpp"

#include <deque>
#include <optional>
#include <vector>

namespace samphirespool::exchange {

class feed_log {
public:
    // The whole collection was read at the revision; earlier changes are not known one by one.
    void reset(std::uint64_t revision);
    void append(const discovery::feed_page& page);

    // What changed after the revision; nothing if that is too far back.
    std::optional<std::vector<discovery::feed_object>> changes_since(std::uint64_t revision) const;

    static constexpr std::size_t max_bytes = std::size_t{1} << 20;

private:
    struct entry {
        std::uint64_t revision;
        std::vector<discovery::feed_object> objects;
        std::size_t bytes;
    };

    std::deque<entry> entries;
    // Invariant: every change after this is in entries.
    std::uint64_t base_revision = 0;
    bool has_base = false;
    std::size_t bytes = 0;
};

} // namespace samphirespool::exchange
