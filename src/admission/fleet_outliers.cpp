// Compares each target's failures with the median target by a bound on the chance of so many.
#include "admission/fleet_outliers.hpp"

#include <algorithm>
#include <cmath>

namespace samphirespool::admission {

namespace {

// Exponent of the chance that a target with the usual share of failures shows as many: one in a
// thousand. Targets are judged some ten times a second, but over the same few seconds of results.
constexpr double least_surprise = 7;
// Failures that any target may have: connections that end, answers that are lost.
constexpr double least_usual_share = 0.01;
// A target that fails less of its requests serves callers better than a place in a queue. Errors
// that a request meets at every target come in pairs, so that chance alone makes a tenth.
constexpr double least_outlier_share = 0.25;
// Answers without a failure from which the own data centre's callers are taken to be well served.
constexpr std::uint32_t clean_responses = 3;
constexpr std::size_t outlier_fraction = 3;

using counts_of = result_counts target_results::*;

// Chernoff's bound on the chance of so many failures, as the negative exponent.
double surprise(const result_counts& counts, double usual) {
    const auto share = counts.failure_share();
    if (share <= usual || share < least_outlier_share)
        return 0;
    const auto failed = share * std::log(share / usual);
    const auto rest = share < 1 ? (1 - share) * std::log((1 - share) / (1 - usual)) : 0.0;
    return counts.total() * (failed + rest);
}

double usual_share(std::span<const target_results> among, counts_of which) {
    std::vector<double> shares;
    shares.reserve(among.size());
    for (const auto& each : among)
        shares.push_back((each.*which).failure_share());
    const auto middle = shares.begin() + static_cast<std::ptrdiff_t>((shares.size() - 1) / 2);
    std::nth_element(shares.begin(), middle, shares.end());
    return std::max(least_usual_share, *middle);
}

bool is_clean(const result_counts& counts) {
    return counts.failures == 0 && counts.responses >= clean_responses;
}

} // namespace

std::vector<std::size_t> find_outliers(std::span<const target_results> among) {
    const auto most = among.size() / outlier_fraction;
    if (most == 0)
        return {};
    const auto usual_near = usual_share(among, &target_results::own_data_centre);
    const auto usual_all = usual_share(among, &target_results::fleet);
    std::vector<std::pair<double, std::size_t>> found;
    for (std::size_t i = 0; i < among.size(); ++i) {
        const auto& each = among[i];
        const auto by_all = is_clean(each.own_data_centre) ? 0 : surprise(each.fleet, usual_all);
        const auto score = std::max(surprise(each.own_data_centre, usual_near), by_all);
        if (score >= least_surprise)
            found.emplace_back(score, i);
    }
    std::sort(found.rbegin(), found.rend());
    found.resize(std::min(found.size(), most));
    std::vector<std::size_t> result;
    result.reserve(found.size());
    for (const auto& [score, index] : found)
        result.push_back(index);
    return result;
}

} // namespace samphirespool::admission
