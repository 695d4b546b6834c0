// Plans when each route of a service begins to use the new version for all requests, so that few
// are still running at old targets when the rollout completes. Limited by the saved credit.
#pragma once

#include "rollout/evidence.hpp"

#include <map>

namespace samphirespool::rollout {

// How long before the deadline the status is written, and before that the directive may permit the
// change-over. The store takes up to some hundred milliseconds for a write.
constexpr helpers::duration completion_lead = std::chrono::milliseconds(500);
helpers::duration change_over_window(helpers::duration period);

struct route_traffic {
    // Requests a second at this gateway.
    double rate = 0;
    // Times to the last byte.
    duration_counts times{};
};

// Time before the completion at which each route begins; 0 for a route that waits for the
// completion. The same share of each route's requests would outlast its time, and the sum of the
// requests sent in it is at most `credit`. At most `window`.
std::map<route_key, helpers::duration>
plan_change_over(const std::map<route_key, route_traffic>& routes, double credit,
                 helpers::duration window);

} // namespace samphirespool::rollout
