// Applies one change to a configuration, as a pure function.
#pragma once

#include "config/configuration_service.hpp"

#include <optional>
#include <vector>

namespace samphirespool::config {

struct apply_result {
    // Without a fault: the changed configuration, with the version of the one before.
    std::optional<fleet_configuration> changed;
    std::vector<kernel::error> faults;
};

// `now` becomes the time of a mark.
apply_result apply(const fleet_configuration& before, const change_body& body,
                   helpers::wall_milliseconds now);

} // namespace samphirespool::config
