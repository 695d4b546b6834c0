// An object is deletable after two observations with an update of the root in between.
#include "store/orphan_tracker.hpp"

#include <utility>

namespace samphirespool::store {

std::vector<object>
orphan_tracker::observe(const std::vector<object>& listed,
                        const std::function<bool(std::string_view key)>& is_referenced,
                        object_version root_version, helpers::time_point now) {
    std::vector<object> deletable;
    std::map<std::string, observation, std::less<>> still_unreferenced;
    for (const auto& candidate : listed) {
        if (is_referenced(candidate.key))
            continue;
        const auto previous = this->orphans.find(candidate.key);
        const auto first =
            previous == this->orphans.end() ? observation{now, root_version} : previous->second;
        if (first.root_version < root_version && now - first.since >= this->grace)
            deletable.push_back(candidate);
        still_unreferenced.emplace(candidate.key, first);
    }
    this->orphans = std::move(still_unreferenced);
    return deletable;
}

} // namespace samphirespool::store
