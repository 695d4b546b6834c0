// Two observations with an update of the root in between make an orphan deletable.
#include "store/orphan_tracker.hpp"

#include <utility>

namespace samphirespool::store {

std::vector<object>
orphan_tracker::observe(const std::vector<object>& listed,
                        const std::function<bool(std::string_view key)>& is_named,
                        object_version root_version, helpers::time_point now) {
    std::vector<object> deletable;
    std::map<std::string, sighting, std::less<>> seen;
    for (const auto& each : listed) {
        if (is_named(each.key))
            continue;
        const auto known = this->orphans.find(each.key);
        const auto first =
            known == this->orphans.end() ? sighting{now, root_version} : known->second;
        if (first.root_version < root_version && now - first.since >= this->grace)
            deletable.push_back(each);
        seen.emplace(each.key, first);
    }
    this->orphans = std::move(seen);
    return deletable;
}

} // namespace samphirespool::store
