// The limits of organisations under one version of the configuration.
#pragma once

#include "admission/limit_messages.hpp"
#include "config/fleet_configuration.hpp"

#include <vector>

namespace samphirespool::router {

struct limit_in_force {
    helpers::organisation_id organisation;
    admission::organisation_limit limit;
};

// Only organisations with a limit, with the factor of the preset in force applied. A limit never
// becomes 0 by the factor, which would mean that there is none.
std::vector<limit_in_force> limits_in_force(const config::fleet_configuration& configuration);

} // namespace samphirespool::router
