// A target as placement strategies see it.
#pragma once

#include "helpers/endpoint.hpp"
#include "helpers/ids.hpp"

#include <cstdint>

namespace samphirespool::placement {

struct target_view {
    helpers::target_id id;
    helpers::vm_id vm;
    helpers::data_centre_id data_centre;
    helpers::region_id region;
    helpers::endpoint address;
    // Incarnation of the target; a new one is cold.
    std::uint64_t incarnation = 0;
    // Relative weight; below 1 while the target's VM or data centre returns gradually.
    double weight = 1.0;
    // Outstanding load that this router knows of.
    double load = 0;
    // False for a target that is leaving, ejected or unreachable: no new work.
    bool eligible = true;
};

} // namespace samphirespool::placement
