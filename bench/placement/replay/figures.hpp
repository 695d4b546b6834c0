// Counts and latencies of one replay of one strategy.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace samphirespool::replay {

struct replay_counts {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t retries = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0;
    // Tokens of requests that started within a minute after an event that changed the fleet.
    std::uint64_t churn_prompt_tokens = 0;
    std::uint64_t churn_cached_tokens = 0;
    // Highest ratio of a warm target's load before an admission to the mean load after it.
    double highest_load = 0;
    // Ratio of highest to mean load of each service and region, sampled each second.
    std::vector<double> skews;
    // New requests to targets of a drained data centre: within the time that a mark may take to
    // reach every router, and later.
    std::uint64_t to_drained_early = 0;
    std::uint64_t to_drained_late = 0;
    // Requests admitted to a cold engine beyond its cold allowance.
    std::uint64_t cold_overloads = 0;
    // Requests not run, of quiet organisations, which are those that never surge.
    std::uint64_t quiet_not_run = 0;
    // Seconds from arrival to the first byte, of quiet organisations and of those that surge.
    std::vector<double> quiet_first_bytes;
    std::vector<double> surge_first_bytes;
    // Subset of quiet_first_bytes: requests that arrived while some organisation surged.
    std::vector<double> quiet_during_surge;
    std::vector<double> quiet_waits;
};

double percentile(std::vector<double> values, double share);

// Figures by the names that trace expectations and result files use.
std::map<std::string, double> figures_of(const replay_counts& counts);

} // namespace samphirespool::replay
