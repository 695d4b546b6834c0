// Outlier detection: ejects failing targets for a limited time. A target is ejected after
// consecutive failures or when a large share of its recent requests failed; each further ejection
// lasts longer. A cap on the share of a service's targets that may be ejected keeps a common cause
// (a bad request, a network fault on our side) from ejecting the whole service.
#pragma once

#include "helpers/ids.hpp"
#include "helpers/time.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>

namespace samphirespool::admission {

struct outlier_limits {
    std::uint32_t consecutive_failures = 5;
    // Share of failures within one window that ejects, once there are min_requests.
    double failure_share = 0.5;
    std::uint32_t min_requests = 20;
    helpers::duration window = std::chrono::seconds(10);
    helpers::duration first_ejection = std::chrono::seconds(10);
    helpers::duration longest_ejection = std::chrono::minutes(5);
    // Share of the listed targets that may be ejected at once. One always may if there are at least
    // two.
    double max_ejected_share = 0.2;
};

class outlier_detector {
public:
    explicit outlier_detector(outlier_limits limits = {}) : limits(limits) {}

    // Sets the targets of the service. State of targets that are no longer listed is dropped.
    void set_targets(std::span<const helpers::target_id> listed);

    // Records the result of a request that was sent; `failed` if the target was at fault. Returns
    // true if this ejected the target. Unknown targets are ignored.
    bool record(helpers::target_id target, bool failed, helpers::time_point now);

    // Ends expired ejections. Returns true if any ended.
    bool advance(helpers::time_point now);

    // Returns when the next ejection expires.
    std::optional<helpers::time_point> next_change() const;
    const std::unordered_set<helpers::target_id>& ejected() const { return this->ejected_targets; }
    // Number of targets that may be ejected at once.
    std::size_t max_ejected() const;

private:
    struct target_state {
        std::uint32_t consecutive_failures = 0;
        std::uint32_t requests = 0;
        std::uint32_t failures = 0;
        helpers::time_point window_start;
        // Recent ejections; determines how long the next one lasts.
        std::uint32_t ejections = 0;
        helpers::time_point ejected_until;
    };

    bool is_outlier(const target_state& state) const;
    helpers::duration ejection_duration(std::uint32_t earlier_ejections) const;

    outlier_limits limits;
    std::unordered_map<helpers::target_id, target_state> targets;
    // Invariant: a subset of `targets`, of at most max_ejected() when a target is added.
    std::unordered_set<helpers::target_id> ejected_targets;
};

} // namespace samphirespool::admission
