// Who this router is, in this life.
#pragma once

#include "helpers/ids.hpp"
#include "kernel/clock.hpp"
#include "settings/router_settings.hpp"

namespace samphirespool::router {

struct router_identity {
    helpers::router_id id;
    helpers::incarnation incarnation;
    helpers::data_centre_id data_centre;
    helpers::region_id region;
};

// The life is the wall time of the start, so that a later life has a larger number.
router_identity make_identity(const settings::router_settings& settings, const kernel::clock& time);

// The seed from the settings, or one from the machine.
std::uint64_t seed_of(const settings::router_settings& settings);

} // namespace samphirespool::router
