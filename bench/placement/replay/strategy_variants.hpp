// The strategies that the bench compares, and their replay over a trace.
#pragma once

#include "bench/placement/replay/simulation.hpp"

#include <map>
#include <string>
#include <vector>

namespace samphirespool::replay {

struct strategy_variant {
    std::string name;
    std::string strategy;
    // True: the trace's bound on load applies; false: slots are the only limit.
    bool bounded = true;
};

inline const std::string production_strategy = "bounded-rendezvous";
inline const std::string oracle_name = "all-knowing";

// The production strategy, the oracle under the same bound, and common strategies, most of them
// without the bound.
const std::vector<strategy_variant>& strategy_variants();

simulation_options options_for(const strategy_variant& variant, const trace& replayed);

using figure_table = std::map<std::string, double>;

figure_table replay_one(const trace& replayed, const strategy_variant& variant,
                        std::span<const arrival> arrivals);

// Replays every given variant, which must include the production strategy, and adds the figures
// that compare it: reuse_vs_all_knowing, reuse_vs_consistent_hash and
// quiet_first_byte_p95_under_surge, the ratio to the same trace without the surge.
std::map<std::string, figure_table> replay_all(const trace& replayed,
                                               const std::vector<strategy_variant>& wanted);

} // namespace samphirespool::replay
