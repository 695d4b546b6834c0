// Derives the identity from the settings and the time of the start.
#include "router/identity.hpp"

#include <random>

namespace samphirespool::router {

router_identity make_identity(const settings::router_settings& settings,
                              const kernel::clock& time) {
    return {helpers::id_of<helpers::router_id>(settings.name),
            helpers::incarnation{static_cast<std::uint64_t>(time.wall())},
            helpers::id_of<helpers::data_centre_id>(settings.data_centre),
            helpers::id_of<helpers::region_id>(settings.region)};
}

std::uint64_t seed_of(const settings::router_settings& settings) {
    return settings.seed != 0 ? settings.seed : std::random_device{}();
}

} // namespace samphirespool::router
