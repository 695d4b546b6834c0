// Applies one change to a configuration and validates the result; a pure function.
#pragma once

#include "config/configuration_service.hpp"

#include <optional>
#include <vector>

namespace samphirespool::config {

struct apply_result {
    // The changed configuration, still with the version of the original. Empty if there is a fault.
    std::optional<fleet_configuration> changed;
    std::vector<kernel::error> faults;
};

// Returns a changed copy of `before`, or the faults. `now` is the time stamp of a new mark.
apply_result apply(const fleet_configuration& before, const change_body& body,
                   helpers::wall_milliseconds now);

} // namespace samphirespool::config
