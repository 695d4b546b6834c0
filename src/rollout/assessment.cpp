// Tests of the new version's failures and durations against the other versions'.
#include "rollout/assessment.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <vector>

namespace samphirespool::rollout {

namespace {

// Hits among trials of one target: failures among answers, or slow answers among timed ones.
struct sample {
    std::uint32_t hits = 0;
    std::uint32_t trials = 0;
};

// Answers of the other versions, weighted.
struct weighted_counts {
    double answered = 0;
    double failed = 0;
    double timed = 0;
    std::array<double, duration_classes> durations{};

    void add(const counts& given, double weight) {
        this->answered += weight * given.answered;
        this->failed += weight * given.failed;
        this->timed += weight * given.timed();
        for (std::size_t i = 0; i < duration_classes; ++i)
            this->durations[i] += weight * given.durations[i];
    }
    void add(const weighted_counts& given, double weight) {
        this->answered += weight * given.answered;
        this->failed += weight * given.failed;
        this->timed += weight * given.timed;
        for (std::size_t i = 0; i < duration_classes; ++i)
            this->durations[i] += weight * given.durations[i];
    }
};

struct route_rows {
    // Weighted by the new version's answers of each interval. Its sums are about the new version's.
    weighted_counts failures;
    weighted_counts times;
    // Recent answers of the other versions: those of earlier intervals count less.
    weighted_counts recent;
    std::uint32_t other_answers = 0;
    std::uint32_t other_timed = 0;
    std::map<target_key, counts> targets;
};

// Weight of the earlier intervals beside one in which the other versions have fewer answers than
// these: a route that has changed over has none of them any more.
constexpr double fading = 0.25;
constexpr std::uint32_t sufficient_answers = 20;
// While the others fail this often, the new version is judged by a multiple of their ratio: in the
// change-over its requests grow, and failures arrive earlier than the successes of requests that
// were sent at the same time.
constexpr double visible_outage = 0.05;
constexpr double outage_factor = 2;
constexpr double most_tolerated = 0.9;

// Slow answers are those at least twice as long as the time in which this share of the other
// versions' answers ends: an empty prefix cache lengthens some answers of a good version.
constexpr double usual_share = 0.95;
constexpr std::size_t classes_per_octave = 2;
constexpr double least_slow_ratio = 0.05;
constexpr std::uint32_t least_slow = 6;
// The median of the new version is at least this many times that of the others.
constexpr int slow_factor = 2;

// Whether the hits condemn the version: improbable, also without the worst target, and spread over
// at least half of the targets that have answered often enough.
bool is_condemned(const std::vector<sample>& targets, double ratio, std::uint32_t least_hits,
                  std::size_t new_targets, const assessment_limits& limits) {
    sample all;
    sample worst;
    std::size_t judged = 0;
    std::size_t hit = 0;
    for (const auto& each : targets) {
        all.hits += each.hits;
        all.trials += each.trials;
        if (each.hits > worst.hits)
            worst = each;
        if (each.trials < limits.least_answers_of_target)
            continue;
        ++judged;
        hit += each.hits > 0 ? 1 : 0;
    }
    if (all.hits < least_hits || judged == 0 || hit * 2 < judged)
        return false;
    if (binomial_tail(all.hits, all.trials, ratio) >= limits.improbable)
        return false;
    if (new_targets <= 1)
        return true;
    return binomial_tail(all.hits - worst.hits, all.trials - worst.trials, ratio) <
           limits.improbable_without_worst;
}

bool is_failing(const route_rows& rows, std::size_t new_targets, const assessment_limits& limits) {
    std::vector<sample> samples;
    for (const auto& [target, each] : rows.targets)
        samples.push_back({each.failed, std::max(each.failed, each.answered)});
    // Without answers of the others, a common cause cannot be excluded.
    if (rows.other_answers < limits.least_answers_of_target || rows.failures.answered <= 0)
        return false;
    const double ratio = std::min(1.0, rows.failures.failed / rows.failures.answered);
    return is_condemned(samples, std::clamp(ratio, limits.least_ratio, 1.0), limits.least_failures,
                        new_targets, limits);
}

// The median over the targets, each with the same weight as its answers, without the one with the
// highest median, if there are several.
bool has_slow_median(const route_rows& rows, std::size_t new_targets,
                     const assessment_limits& limits) {
    // In parts of a thousand, so that the weights keep their meaning in whole numbers.
    duration_counts others{};
    for (std::size_t i = 0; i < duration_classes; ++i)
        others[i] = static_cast<std::uint32_t>(1000 * rows.times.durations[i] / rows.times.timed);
    const auto usual = quantile(others, 0.5);
    counts all;
    const counts* slowest = nullptr;
    for (const auto& [target, each] : rows.targets) {
        all.add(each);
        if (each.timed() > 0 &&
            (!slowest || quantile(each.durations, 0.5) > quantile(slowest->durations, 0.5)))
            slowest = &each;
    }
    if (all.timed() < limits.least_timed || quantile(all.durations, 0.5) < slow_factor * usual)
        return false;
    if (new_targets <= 1)
        return true;
    const auto rest = all.since(*slowest);
    return rest.timed() >= limits.least_answers_of_target &&
           quantile(rest.durations, 0.5) >= slow_factor * usual;
}

bool has_slow_share(const route_rows& rows, std::size_t new_targets,
                    const assessment_limits& limits) {
    std::size_t usual = 0;
    double below = rows.times.durations[0];
    while (usual + 1 < duration_classes && below < usual_share * rows.times.timed)
        below += rows.times.durations[++usual];
    std::vector<sample> samples;
    for (const auto& [target, each] : rows.targets) {
        sample slow{0, each.timed()};
        for (auto i = usual + 1 + classes_per_octave; i < duration_classes; ++i)
            slow.hits += each.durations[i];
        samples.push_back(slow);
    }
    const double ratio = 1 - below / rows.times.timed;
    return is_condemned(samples, std::max(ratio, least_slow_ratio), least_slow, new_targets,
                        limits);
}

bool is_slow(const route_rows& rows, std::size_t new_targets, const assessment_limits& limits) {
    if (rows.other_timed < limits.least_timed || rows.times.timed <= 0)
        return false;
    std::uint32_t timed = 0;
    for (const auto& [target, each] : rows.targets)
        timed += each.timed();
    if (timed < limits.least_timed)
        return false;
    return has_slow_median(rows, new_targets, limits) || has_slow_share(rows, new_targets, limits);
}

void add_interval(const evidence_rows& rows, std::map<route_key, route_rows>& routes,
                  assessment& sums) {
    std::map<route_key, counts> others;
    std::map<route_key, counts> answers;
    for (const auto& [key, values] : rows) {
        if (key.target == no_target) {
            others[key.route].add(values);
            sums.old_answered += values.answered;
            sums.old_failed += values.failed;
            continue;
        }
        answers[key.route].add(values);
        routes[key.route].targets[key.target].add(values);
        sums.new_answered += values.answered;
        sums.new_failed += values.failed;
    }
    // A route that has changed over sends nothing to the other versions, so that an outage shows
    // only in their answers on other routes.
    weighted_counts overall;
    for (const auto& [route, values] : others) {
        routes[route];
        overall.add(values, 1);
    }
    for (auto& [route, each] : routes) {
        const auto& seen = others[route];
        weighted_counts next;
        if (seen.answered < sufficient_answers)
            next.add(each.recent, fading);
        next.add(seen, 1);
        each.recent = next;
        each.other_answers += seen.answered;
        each.other_timed += seen.timed();
        const auto& given = answers[route];
        if (given.answered > 0 && next.answered > 0) {
            double ratio = next.failed / next.answered;
            if (seen.answered < sufficient_answers && overall.answered > 0)
                ratio = std::max(ratio, overall.failed / overall.answered);
            if (ratio >= visible_outage)
                ratio = std::min(most_tolerated, outage_factor * ratio);
            each.failures.answered += given.answered;
            each.failures.failed += given.answered * ratio;
        }
        if (given.timed() > 0 && next.timed > 0)
            each.times.add(next, given.timed() / next.timed);
    }
}

// The failures of all routes together.
route_rows sum_of(const std::map<route_key, route_rows>& routes) {
    route_rows result;
    for (const auto& [route, each] : routes) {
        result.failures.add(each.failures, 1);
        result.other_answers += each.other_answers;
        for (const auto& [target, values] : each.targets)
            result.targets[target].add(values);
    }
    return result;
}

} // namespace

std::string_view name_of(health each) {
    switch (each) {
    case health::unknown:
        return "unknown";
    case health::healthy:
        return "healthy";
    case health::failing:
        return "failing";
    case health::slow:
        return "slow";
    }
    return "unknown";
}

double binomial_tail(std::uint32_t hits, std::uint32_t trials, double ratio) {
    if (hits == 0)
        return 1;
    if (hits > trials || ratio <= 0)
        return 0;
    if (ratio >= 1)
        return 1;
    const double n = trials;
    double sum = 0;
    for (auto k = hits; k <= trials; ++k) {
        const double term =
            std::exp(std::lgamma(n + 1) - std::lgamma(k + 1.0) - std::lgamma(n - k + 1) +
                     k * std::log(ratio) + (n - k) * std::log1p(-ratio));
        sum += term;
        // Terms beyond the mean fall faster than geometrically.
        if (k > n * ratio && term < sum * 1e-6)
            break;
    }
    return std::min(1.0, sum);
}

assessment assess(const std::vector<evidence_rows>& intervals, std::size_t new_targets,
                  const assessment_limits& limits) {
    assessment result;
    std::map<route_key, route_rows> routes;
    for (const auto& each : intervals)
        add_interval(each, routes, result);
    std::set<target_key> targets;
    for (const auto& [route, each] : routes)
        for (const auto& [target, values] : each.targets)
            targets.insert(target);
    result.new_targets = static_cast<std::uint32_t>(targets.size());
    for (const auto& [route, each] : routes) {
        if (is_failing(each, new_targets, limits))
            result.state = health::failing;
        else if (is_slow(each, new_targets, limits))
            result.state = health::slow;
        else
            continue;
        result.route = route;
        return result;
    }
    // With few requests, no route alone has enough answers from each target.
    if (is_failing(sum_of(routes), new_targets, limits))
        result.state = health::failing;
    else if (result.new_answered >= limits.least_answers)
        result.state = health::healthy;
    return result;
}

} // namespace samphirespool::rollout
