// Computes what is left of this gateway's share.
#include "admission/fleet_retry_budget.hpp"

#include <algorithm>
#include <limits>

namespace samphirespool::admission {

namespace {

// Fractions of the budget that are used. The rest covers retries on their way, and gateways that
// are in no member list yet.
constexpr double used_ratio = 0.9;
constexpr double used_burst = 0.85;
// Part of the ratio that a process may spend on its requests at any time. The rest may be spent at
// once, but only by a process whose predecessor's retries are outside the window.
constexpr double steady_part = 0.35;
constexpr helpers::duration start_margin = std::chrono::seconds(1);

} // namespace

void fleet_retry_budget::record_request(helpers::service_id service, helpers::time_point now) {
    auto& counts = this->services.try_emplace(service, this->limits.window).first->second;
    ++counts.current(now).requests;
}

bool fleet_retry_budget::has_restarted(helpers::time_point now) const {
    return now - this->started_at < this->limits.window + start_margin;
}

double fleet_retry_budget::burst_share(helpers::time_point now) const {
    const auto members = this->divisor.value(now);
    return members ? this->limits.burst * used_burst / static_cast<double>(*members) : 0;
}

// A successor may spend the steady part of its own requests from the moment at which this process
// ends. So the retries of each latest part of the window are bounded, not only those of all of it.
double fleet_retry_budget::left(const recent_usage& counts, helpers::time_point now) const {
    const auto ratio = this->limits.ratio * used_ratio;
    const auto burst = this->burst_share(now);
    const auto whole = counts.sum(now);
    if (this->has_restarted(now))
        return ratio * steady_part * whole.requests + burst - static_cast<double>(whole.retries);
    const auto at_once = ratio * (1 - steady_part) * whole.requests;
    auto result = std::numeric_limits<double>::max();
    for (std::size_t latest = 1; latest <= slices + 1; ++latest) {
        const auto part = counts.sum_of_latest(latest, now);
        result = std::min(result, at_once + ratio * steady_part * part.requests + burst -
                                      static_cast<double>(part.retries));
    }
    return result;
}

bool fleet_retry_budget::try_spend(helpers::service_id service, helpers::time_point now) {
    auto& counts = this->services.try_emplace(service, this->limits.window).first->second;
    if (this->left(counts, now) < 1)
        return false;
    ++counts.current(now).retries;
    return true;
}

fleet_retry_budget::state fleet_retry_budget::state_of(helpers::service_id service,
                                                       helpers::time_point now) const {
    const auto found = this->services.find(service);
    return {found == this->services.end() ? this->burst_share(now) : this->left(found->second, now),
            this->burst_share(now), this->has_restarted(now)};
}

} // namespace samphirespool::admission
