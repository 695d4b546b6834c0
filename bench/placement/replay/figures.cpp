// Turns counts into figures.
#include "bench/placement/replay/figures.hpp"

#include <algorithm>
#include <numeric>

namespace samphirespool::replay {

namespace {

double share(std::uint64_t part, std::uint64_t whole) {
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

double percentile(std::vector<double> values, double share) {
    if (values.empty())
        return 0;
    const auto rank = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return values[static_cast<std::size_t>(rank)];
}

std::map<std::string, double> figures_of(const tallies& counted) {
    const auto skew_sum = std::accumulate(counted.skews.begin(), counted.skews.end(), 0.0);
    const auto samples = static_cast<double>(std::max<std::size_t>(1, counted.skews.size()));
    return {
        {"requests", static_cast<double>(counted.requests)},
        {"answered", static_cast<double>(counted.answered)},
        {"refused", static_cast<double>(counted.not_run)},
        {"quiet_refused", static_cast<double>(counted.quiet_not_run)},
        {"outcome_unknown", static_cast<double>(counted.unknown)},
        {"retries", static_cast<double>(counted.retries)},
        {"reuse", share(counted.cached_tokens, counted.prompt_tokens)},
        {"reuse_across_churn", share(counted.churn_cached_tokens, counted.churn_prompt_tokens)},
        {"highest_load_less_one_request", counted.highest_load},
        {"skew_mean", skew_sum / samples},
        {"skew_p99", percentile(counted.skews, 0.99)},
        {"new_work_to_left_within_4s", static_cast<double>(counted.to_left_early)},
        {"new_work_to_left_after_4s", static_cast<double>(counted.to_left_late)},
        {"cold_overloads", static_cast<double>(counted.cold_overloads)},
        {"quiet_first_byte_p50", percentile(counted.quiet_first_bytes, 0.5)},
        {"quiet_first_byte_p95", percentile(counted.quiet_first_bytes, 0.95)},
        {"quiet_first_byte_during_surge_p95", percentile(counted.quiet_during_surge, 0.95)},
        {"quiet_queue_wait_p95", percentile(counted.quiet_waits, 0.95)},
        {"surge_first_byte_p95", percentile(counted.surge_first_bytes, 0.95)},
    };
}

} // namespace samphirespool::replay
