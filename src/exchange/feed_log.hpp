// The content of a feed with the revision of each object's last change, from which gateways at an
// older revision get what has changed since.
#pragma once

#include "discovery/feed.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace samphirespool::exchange {

// What a receiver at an older revision needs.
struct feed_difference {
    // The objects that were changed or removed since that revision.
    std::vector<discovery::feed_object> changes;
    // Set if removals since that revision are not known: the names of all objects that exist.
    std::optional<std::vector<std::string>> all_names;

    std::size_t bytes() const;
};

class feed_log {
public:
    // Applies a page of the feed. A page with the names of all objects may follow a gap in the
    // known removals. The first page of a later era holds the whole collection.
    void apply(const discovery::feed_page& page);

    // Returns nothing before the whole collection was read once. A receiver from an earlier era
    // gets everything.
    std::optional<feed_difference> changes_since(const discovery::source_position& since) const;

    // Removed objects whose names are kept.
    static constexpr std::size_t max_removals = 4096;

private:
    struct entry {
        std::string content;
        std::uint64_t revision = 0;
    };
    using position = std::pair<std::uint64_t, std::string>;

    void set(const discovery::feed_object& object, std::uint64_t page_revision);
    void remove(const std::string& name, std::uint64_t revision);
    void remove_others(const std::vector<std::string>& names, std::uint64_t revision);
    void forget_oldest_removals();

    std::map<std::string, entry, std::less<>> objects;
    // Invariant: holds exactly the objects, ordered by the revision of their last change.
    std::set<position> by_revision;
    // Removed objects, ordered by the revision of their removal.
    std::set<position> removals;
    // Invariant: `removals` holds every removal after this revision.
    std::uint64_t base_revision = 0;
    // Invariant: all revisions are of this era.
    std::uint64_t era = 0;
    bool is_loaded = false;
};

} // namespace samphirespool::exchange
