// Compares each target's failures with those of the median target, by a Chernoff bound.
#include "admission/fleet_outliers.hpp"

#include <algorithm>
#include <cmath>

namespace samphirespool::admission {

namespace {

// Negative exponent of the probability that a target with the typical share of failures has this
// many by chance: e^-7 is about one in a thousand. Targets are checked some ten times a second, but
// over the same few seconds of results.
constexpr double min_exponent = 7;
// Share of failures that any target may have: closed connections, lost responses.
constexpr double min_typical_share = 0.01;
// A target that fails a smaller share is kept: using it serves callers better than queueing. Errors
// that a request causes on every target occur in pairs, so that chance alone gives a tenth.
constexpr double min_outlier_share = 0.25;
// Responses without a failure after which a target counts as healthy for the own data centre.
constexpr std::uint32_t min_healthy_responses = 3;
// At most one in this many targets is an outlier.
constexpr std::size_t outlier_fraction = 3;

using counts_member = result_counts target_results::*;

// Chernoff bound on the probability of so many failures by chance, as its negative exponent; 0 if
// the share of failures is typical or below min_outlier_share.
double chernoff_exponent(const result_counts& counts, double typical) {
    const auto share = counts.failure_share();
    if (share <= typical || share < min_outlier_share)
        return 0;
    const auto failed = share * std::log(share / typical);
    const auto rest = share < 1 ? (1 - share) * std::log((1 - share) / (1 - typical)) : 0.0;
    return counts.total() * (failed + rest);
}

// Failure share of the median target, at least min_typical_share.
double typical_failure_share(std::span<const target_results> targets, counts_member which) {
    std::vector<double> shares;
    shares.reserve(targets.size());
    for (const auto& target : targets)
        shares.push_back((target.*which).failure_share());
    const auto middle = shares.begin() + static_cast<std::ptrdiff_t>((shares.size() - 1) / 2);
    std::nth_element(shares.begin(), middle, shares.end());
    return std::max(min_typical_share, *middle);
}

bool is_healthy(const result_counts& counts) {
    return counts.failures == 0 && counts.responses >= min_healthy_responses;
}

} // namespace

std::vector<std::size_t> find_outliers(std::span<const target_results> targets) {
    const auto max_outliers = targets.size() / outlier_fraction;
    if (max_outliers == 0)
        return {};
    const auto typical_in_data_centre =
        typical_failure_share(targets, &target_results::same_data_centre);
    const auto typical_in_fleet = typical_failure_share(targets, &target_results::fleet);
    std::vector<std::pair<double, std::size_t>> found;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const auto& target = targets[i];
        const auto fleet_score = is_healthy(target.same_data_centre)
                                     ? 0
                                     : chernoff_exponent(target.fleet, typical_in_fleet);
        const auto score = std::max(
            chernoff_exponent(target.same_data_centre, typical_in_data_centre), fleet_score);
        if (score >= min_exponent)
            found.emplace_back(score, i);
    }
    std::sort(found.rbegin(), found.rend());
    found.resize(std::min(found.size(), max_outliers));
    std::vector<std::size_t> result;
    result.reserve(found.size());
    for (const auto& [score, index] : found)
        result.push_back(index);
    return result;
}

} // namespace samphirespool::admission
