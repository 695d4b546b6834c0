// Scales the limits by the factor of the preset in force.
#include "router/effective_limits.hpp"

#include <algorithm>

namespace samphirespool::router {

namespace {

std::uint32_t scaled_in_flight(std::uint32_t limit, double factor) {
    if (limit == 0)
        return 0;
    return std::max(1U, static_cast<std::uint32_t>(static_cast<double>(limit) * factor));
}

} // namespace

std::vector<effective_limit> effective_limits(const config::fleet_configuration& configuration) {
    const auto factor = configuration.preset().limit_factor;
    std::vector<effective_limit> result;
    for (const auto& [name, organisation] : configuration.organisations) {
        if (organisation.max_requests_per_second == 0 && organisation.max_in_flight == 0)
            continue;
        result.push_back({helpers::id_of<helpers::organisation_id>(name),
                          {organisation.max_requests_per_second * factor,
                           scaled_in_flight(organisation.max_in_flight, factor)}});
    }
    return result;
}

} // namespace samphirespool::router
