// The limits of organisations that result from one version of the configuration.
#pragma once

#include "admission/limit_messages.hpp"
#include "config/fleet_configuration.hpp"

#include <vector>

namespace samphirespool::router {

struct effective_limit {
    helpers::organisation_id organisation;
    admission::organisation_limit limit;
};

// Returns the limits of the organisations that have one, scaled by the factor of the preset in
// force. A limit on requests in flight is never scaled to 0, since 0 means unlimited.
std::vector<effective_limit> effective_limits(const config::fleet_configuration& configuration);

} // namespace samphirespool::router
