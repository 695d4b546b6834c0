// Computes the figures from the counts of a replay.
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

std::map<std::string, double> figures_of(const replay_counts& counts) {
    const auto skew_sum = std::accumulate(counts.skews.begin(), counts.skews.end(), 0.0);
    const auto samples = static_cast<double>(std::max<std::size_t>(1, counts.skews.size()));
    return {
        {"requests", static_cast<double>(counts.requests)},
        {"answered", static_cast<double>(counts.answered)},
        {"refused", static_cast<double>(counts.not_run)},
        {"quiet_refused", static_cast<double>(counts.quiet_not_run)},
        {"outcome_unknown", static_cast<double>(counts.unknown)},
        {"retries", static_cast<double>(counts.retries)},
        {"reuse", share(counts.cached_tokens, counts.prompt_tokens)},
        {"reuse_across_churn", share(counts.churn_cached_tokens, counts.churn_prompt_tokens)},
        {"highest_load_less_one_request", counts.highest_load},
        {"skew_mean", skew_sum / samples},
        {"skew_p99", percentile(counts.skews, 0.99)},
        {"new_work_to_left_within_4s", static_cast<double>(counts.to_drained_early)},
        {"new_work_to_left_after_4s", static_cast<double>(counts.to_drained_late)},
        {"cold_overloads", static_cast<double>(counts.cold_overloads)},
        {"quiet_first_byte_p50", percentile(counts.quiet_first_bytes, 0.5)},
        {"quiet_first_byte_p95", percentile(counts.quiet_first_bytes, 0.95)},
        {"quiet_first_byte_during_surge_p95", percentile(counts.quiet_during_surge, 0.95)},
        {"quiet_queue_wait_p95", percentile(counts.quiet_waits, 0.95)},
        {"surge_first_byte_p95", percentile(counts.surge_first_bytes, 0.95)},
    };
}

} // namespace samphirespool::replay
