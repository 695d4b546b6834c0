// What one replay of one strategy yields.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace samphirespool::replay {

struct tallies {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t retries = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0;
    // Of requests that started within a minute after an event.
    std::uint64_t churn_prompt_tokens = 0;
    std::uint64_t churn_cached_tokens = 0;
    // Highest load of a warm target before an admission over the mean with it.
    double highest_load = 0;
    // Sampled each second: highest over mean load of each service and region.
    std::vector<double> skews;
    // New work to a data centre that left: within the time that views may lag, and later.
    std::uint64_t to_left_early = 0;
    std::uint64_t to_left_late = 0;
    // Requests admitted to an engine that was cold in truth, beyond what it bore.
    std::uint64_t cold_overloads = 0;
    // Not run, of organisations that do not surge.
    std::uint64_t quiet_not_run = 0;
    // Seconds until the first byte, of requests of organisations that do not surge and of others.
    std::vector<double> quiet_first_bytes;
    std::vector<double> surge_first_bytes;
    // As quiet_first_bytes, of requests that arrived while some organisation surged.
    std::vector<double> quiet_during_surge;
    std::vector<double> quiet_waits;
};

double percentile(std::vector<double> values, double share);

// By the names that traces and the bench use.
std::map<std::string, double> figures_of(const tallies& counted);

} // namespace samphirespool::replay
