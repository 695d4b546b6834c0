// What the router that owns a shard knows of the shard's targets: load outstanding, bound, cold
// allowance. Pure: every call gets the time.
#pragma once

#include "admission/reservation.hpp"
#include "helpers/ids.hpp"
#include "helpers/time.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace samphirespool::admission {

struct ledger_target {
    helpers::target_id id;
    std::uint64_t incarnation = 0;
    std::uint32_t warm_capacity = 64;
    std::uint32_t cold_allowance = 2;
    bool eligible = true;
};

} // namespace samphirespool::admission
