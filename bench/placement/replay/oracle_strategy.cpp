// Ranks targets by the cached tokens of the current request's prompt.
#include "bench/placement/replay/oracle_strategy.hpp"

#include <algorithm>

namespace samphirespool::replay {

void oracle_strategy::rank(const placement::placement_request& request,
                           std::span<const placement::target_view> targets, kernel::random_source&,
                           std::vector<std::size_t>& candidates) {
    struct rated {
        std::uint32_t cached = 0;
        double load = 0;
        std::size_t index = 0;
    };
    std::vector<rated> all;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (!targets[i].eligible)
            continue;
        const auto& cache = this->fleet.engine_at(this->fleet.place_of(targets[i].id)).cache;
        all.push_back({cache.cached_tokens(*this->fleet.current_request()), targets[i].load, i});
    }
    const auto count = std::min(request.max_candidates, all.size());
    std::ranges::partial_sort(all, all.begin() + static_cast<std::ptrdiff_t>(count),
                              [](const rated& left, const rated& right) {
                                  return left.cached != right.cached ? left.cached > right.cached
                                                                     : left.load < right.load;
                              });
    for (std::size_t i = 0; i < count; ++i)
        candidates.push_back(all[i].index);
}

} // namespace samphirespool::replay
