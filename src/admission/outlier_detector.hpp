// Takes failing targets out for a while. A target is ejected after failures in a row or when most
// of its recent requests failed; each further ejection lasts longer. A cap on the share of a
// service's targets that may be out keeps a common cause (a bad request, a broken network of ours)
// from ejecting the whole service.
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
    // Within one window, once there are min_requests.
    double failure_share = 0.5;
    std::uint32_t min_requests = 20;
    helpers::duration window = std::chrono::seconds(10);
    helpers::duration first_ejection = std::chrono::seconds(10);
    helpers::duration longest_ejection = std::chrono::minutes(5);
    // Share of the listed targets that may be out at once; one may always be, if there are two.
    double most_ejected = 0.2;
};

class outlier_detector {
public:
    explicit outlier_detector(outlier_limits limits = {}) : limits(limits) {}

    // The targets of one service. One that is gone is forgotten.
    void set_targets(std::span<const helpers::target_id> listed);

    // Whether a request that was sent failed by the target's fault. Returns true if this ejected
    // the target. Unknown targets are ignored.
    bool record(helpers::target_id target, bool failed, helpers::time_point now);

    // Ends ejections that are over. Returns true if any ended.
    bool advance(helpers::time_point now);

    std::optional<helpers::time_point> next_change() const;
    const std::unordered_set<helpers::target_id>& ejected() const { return this->out; }
    // How many may be out at once.
    std::size_t most_ejected() const;

private:
    struct standing {
        std::uint32_t in_a_row = 0;
        std::uint32_t requests = 0;
        std::uint32_t failures = 0;
        helpers::time_point window_start;
        // Ejections lately; decides how long the next one lasts.
        std::uint32_t ejections = 0;
        helpers::time_point ejected_until;
    };

    bool is_outlier(const standing& judged) const;
    helpers::duration ejection_length(std::uint32_t earlier) const;

    outlier_limits limits;
    std::unordered_map<helpers::target_id, standing> targets;
    // Invariant: a subset of `targets`, of at most most_ejected() when a target is added.
    std::unordered_set<helpers::target_id> out;
};

} // namespace samphirespool::admission
