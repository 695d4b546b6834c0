// Rendezvous hashing of a new version's targets.
#include "rollout/canary_panel.hpp"

#include "helpers/ids.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>

namespace samphirespool::rollout {

std::vector<std::size_t> panel_order(std::string_view service,
                                     const std::vector<std::string>& names) {
    std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
    for (std::size_t i = 0; i < names.size(); ++i) {
        std::string key(service);
        key += '\n';
        key += names[i];
        ranked.emplace_back(helpers::hash_name(key), i);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::size_t> result;
    result.reserve(ranked.size());
    for (const auto& [hash, index] : ranked)
        result.push_back(index);
    return result;
}

std::size_t panel_size(std::size_t targets, double canary_share) {
    const double wanted = std::ceil(std::max(0.0, canary_share) * static_cast<double>(targets));
    return std::min(targets, std::max<std::size_t>(2, static_cast<std::size_t>(wanted)));
}

} // namespace samphirespool::rollout
