// Compares the new version of a service with the others by their answers on the same routes and
// over the same time. Pure functions.
#pragma once

#include "rollout/evidence.hpp"

namespace samphirespool::rollout {

enum class health : std::uint8_t { unknown, healthy, failing, slow };
std::string_view name_of(health each);

struct assessment_limits {
    // A result this improbable under the other versions' ratio is no coincidence.
    double improbable = 1e-4;
    // The same without the worst target, so that one failing target condemns no version.
    double improbable_without_worst = 1e-2;
    // Least failure ratio assumed for the other versions.
    double least_ratio = 0.01;
    std::uint32_t least_failures = 4;
    // Targets with fewer answers have no part in the share of targets.
    std::uint32_t least_answers_of_target = 5;
    std::uint32_t least_timed = 12;
    // Answers over all routes below which nothing is known.
    std::uint32_t least_answers = 20;
};

struct assessment {
    health state = health::unknown;
    // The route that condemned the version.
    route_key route = 0;
    // Sums over all routes.
    std::uint32_t new_answered = 0;
    std::uint32_t new_failed = 0;
    std::uint32_t old_answered = 0;
    std::uint32_t old_failed = 0;
    std::uint32_t new_targets = 0;
    // Set by the decider: recent answers are not bad enough to revert, but to complete.
    bool is_suspect = false;

    bool is_unhealthy() const { return state == health::failing || state == health::slow; }
};

using evidence_rows = std::map<row_key, counts>;

// `intervals` are the results of successive short intervals. The ratios of the other versions are
// weighted by the new version's answers in each interval, so that a burst or an outage that meets
// both condemns neither. `new_targets` is the number of registered targets of the new version.
assessment assess(const std::vector<evidence_rows>& intervals, std::size_t new_targets,
                  const assessment_limits& limits = {});

// Probability of at least `hits` among `trials` if each has probability `ratio`.
double binomial_tail(std::uint32_t hits, std::uint32_t trials, double ratio);

} // namespace samphirespool::rollout
