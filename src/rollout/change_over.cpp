// The plan of the change-over: one share of requests that would outlast their time for all routes,
// found by bisection.
#include "rollout/change_over.hpp"

#include <algorithm>

namespace samphirespool::rollout {

namespace {

// Enough for a share that is exact to a millionth.
constexpr int bisections = 20;

double seconds_of(helpers::duration time) {
    return std::chrono::duration<double>(time).count();
}

// The time in which all but `outlasting` of the route's requests end.
helpers::duration lead_of(const route_traffic& route, double outlasting, helpers::duration window) {
    return std::min(window, quantile(route.times, 1 - outlasting));
}

double cost_of(const std::map<route_key, route_traffic>& routes, double outlasting,
               helpers::duration window) {
    double sum = 0;
    for (const auto& [key, route] : routes)
        sum += route.rate * seconds_of(lead_of(route, outlasting, window));
    return sum;
}

} // namespace

helpers::duration change_over_window(helpers::duration period) {
    return std::clamp<helpers::duration>(period / 4, std::chrono::seconds(1),
                                         std::chrono::seconds(6));
}

std::map<route_key, helpers::duration>
plan_change_over(const std::map<route_key, route_traffic>& routes, double credit,
                 helpers::duration window) {
    double least = 0;
    double scale = 1;
    // No request is shorter than these leads: within them each request counts alike.
    const double shortest = cost_of(routes, 1, window);
    if (shortest > credit) {
        least = 1;
        scale = std::max(0.0, credit) / shortest;
    } else if (cost_of(routes, 0, window) > credit) {
        double most = 1;
        for (int i = 0; i < bisections; ++i) {
            const double middle = (least + most) / 2;
            (cost_of(routes, middle, window) > credit ? least : most) = middle;
        }
        least = most;
    }
    std::map<route_key, helpers::duration> result;
    for (const auto& [key, route] : routes)
        result[key] = std::chrono::duration_cast<helpers::duration>(
            scale * std::chrono::duration<double>(lead_of(route, least, window)));
    return result;
}

} // namespace samphirespool::rollout
