// Applies the preset's factor to the limits.
#include "router/limits_in_force.hpp"

#include <algorithm>

namespace samphirespool::router {

namespace {

std::uint32_t scaled_in_flight(std::uint32_t limit, double factor) {
    if (limit == 0)
        return 0;
    return std::max(1U, static_cast<std::uint32_t>(static_cast<double>(limit) * factor));
}

} // namespace

std::vector<limit_in_force> limits_in_force(const config::fleet_configuration& configuration) {
    const auto factor = configuration.preset().limit_factor;
    std::vector<limit_in_force> result;
    for (const auto& [name, each] : configuration.organisations) {
        if (each.max_requests_per_second == 0 && each.max_in_flight == 0)
            continue;
        result.push_back({helpers::id_of<helpers::organisation_id>(name),
                          {each.max_requests_per_second * factor,
                           scaled_in_flight(each.max_in_flight, factor)}});
    }
    return result;
}

} // namespace samphirespool::router
