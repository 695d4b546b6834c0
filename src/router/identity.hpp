// Identity of this router process: its id, incarnation and location.
#pragma once

#include "helpers/ids.hpp"
#include "kernel/clock.hpp"
#include "settings/router_settings.hpp"

namespace samphirespool::router {

struct router_identity {
    helpers::router_id id;
    // Larger for each later start of the process.
    helpers::incarnation incarnation;
    helpers::data_centre_id data_centre;
    helpers::region_id region;
};

// The incarnation is the wall-clock time of the start in milliseconds, so that it grows with each
// restart.
router_identity make_identity(const settings::router_settings& settings, const kernel::clock& time);

// The random seed from the settings, or one from std::random_device if that is 0.
std::uint64_t seed_of(const settings::router_settings& settings);

} // namespace samphirespool::router
