// The strategies that the bench compares, and the outcomes that a trace states.
#pragma once

#include "bench/placement/replay/simulation.hpp"

#include <map>
#include <string>
#include <vector>

namespace samphirespool::replay {

struct contestant {
    std::string name;
    std::string strategy;
    // Under the trace's bound on load, or with slots as the only limit.
    bool bounded = true;
};

inline const std::string product = "bounded-rendezvous";
inline const std::string oracle = "all-knowing";

// The product, the all-knowing policy under the same bound, and the usual strategies without it.
const std::vector<contestant>& contestants();

simulation_options options_for(const contestant& one, const trace& replayed);

using figure_table = std::map<std::string, double>;

figure_table replay_one(const trace& replayed, const contestant& one,
                        std::span<const arrival> arrivals);

// All contestants of a trace, with the figures that compare: reuse_vs_all_knowing,
// reuse_vs_consistent_hash, quiet_first_byte_p95_under_surge (times that without the surge).
std::map<std::string, figure_table> replay_all(const trace& replayed,
                                               const std::vector<contestant>& wanted);

} // namespace samphirespool::replay
