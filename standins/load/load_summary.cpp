// Computes quantiles and writes a summary as JSON.
#include "standins/load/load_summary.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace samphirespool::standins {

namespace {

constexpr double median = 0.5;
constexpr double p99 = 0.99;

double quantile(std::vector<float>& samples, double share) {
    if (samples.empty())
        return 0;
    const auto at = static_cast<std::size_t>(share * static_cast<double>(samples.size() - 1));
    std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(at),
                     samples.end());
    return samples[at];
}

nlohmann::json quantiles(std::vector<float>& samples) {
    return {{"p50", quantile(samples, median)}, {"p99", quantile(samples, p99)}};
}

} // namespace

std::string to_json(load_summary& summary) {
    const nlohmann::json result = {
        {"requests", summary.requests},
        {"answered_whole", summary.answered_whole},
        {"refused_not_run", summary.refused_not_run},
        {"outcome_unknown", summary.outcome_unknown},
        {"broken", summary.broken},
        {"wrong", summary.wrong},
        {"unanswered", summary.unanswered},
        {"tokens", summary.tokens},
        {"prompt_tokens", summary.prompt_tokens},
        {"cached_tokens", summary.cached_tokens},
        {"seconds", summary.seconds},
        {"requests_per_second", static_cast<double>(summary.answered_whole) / summary.seconds},
        {"tokens_per_second", static_cast<double>(summary.tokens) / summary.seconds},
        {"first_byte_ms", quantiles(summary.first_byte)},
        {"whole_ms", quantiles(summary.whole)},
        {"gap_ms", quantiles(summary.gaps)},
        {"error_codes", summary.error_codes}};
    return result.dump();
}

} // namespace samphirespool::standins
