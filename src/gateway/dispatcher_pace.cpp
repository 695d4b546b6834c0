// The dispatcher's part in the slow start of targets: what it observes of them, and the totals.
#include "gateway/dispatcher.hpp"

#include <algorithm>

namespace samphirespool::gateway {

void dispatcher::merge_speeds(const admission::target_speed_list& received) {
    this->pacing.merge_speeds(received, this->catalog, this->loop.time().now());
}

// A stream that continues at its version may have no other target and is not held back.
bool dispatcher::is_within_pace(const discovery::tracked_target& target,
                                const dispatch_request& request, helpers::time_point now) {
    this->observe_pace(target, now);
    return request.software ||
           this->pacing.may_send(target, this->load_of(target).own_requests(), now);
}

void dispatcher::observe_pace(const discovery::tracked_target& target, helpers::time_point now) {
    const auto& load = this->load_of(target);
    const bool is_away = !this->catalog.is_eligible(target) || load.is_on_trial() ||
                         load.is_suspected(now) || load.is_ejected(now);
    this->pacing.observe(target, is_away, now);
}

void dispatcher::update_pace(const counts_by_incarnation& counts,
                             std::uint32_t max_unlisted_in_flight) {
    const auto now = this->loop.time().now();
    for (const auto& [service, state] : this->services) {
        if (!this->pacing.is_active(service, now))
            continue;
        const auto targets = this->catalog.targets_of(service);
        double load_sum = 0;
        std::size_t eligible = 0;
        std::size_t paced = 0;
        for (const auto& target : targets) {
            this->observe_pace(*target, now);
            if (!this->catalog.is_eligible(*target))
                continue;
            ++eligible;
            paced += this->pacing.is_paced(*target) ? 1 : 0;
            load_sum += this->load_of(*target).estimate(state.mean_peer_load, now);
        }
        this->pacing.set_service_size(service, eligible, paced);
        if (paced == 0)
            continue;
        for (const auto& target : targets)
            if (this->pacing.is_paced(*target)) {
                auto totals = this->pace_totals_of(*target, counts);
                totals.is_listed = totals.is_listed || max_unlisted_in_flight == 0;
                const std::chrono::duration<double> interval = this->peer_count_interval;
                const std::chrono::duration<double> window = rate_window;
                totals.own_rate = state.recent_assignments.sum(now) * interval / window;
                totals.mean_load = load_sum / static_cast<double>(eligible);
                this->pacing.on_totals(*target, totals, now);
            }
    }
    this->pacing.evict(now);
}

exchange::target_counts dispatcher::report_counts() {
    auto result = this->own_counts();
    this->reported_results.clear();
    for (const auto& each : result)
        this->reported_results[each.incarnation_hash] = each.results;
    return result;
}

// The totals contain this gateway's results as of its last report.
admission::pace_totals dispatcher::pace_totals_of(const discovery::tracked_target& target,
                                                  const counts_by_incarnation& counts) {
    admission::pace_totals result;
    result.own_in_flight = this->load_of(target).own_requests();
    const auto found = counts.find(target.incarnation_hash);
    if (found == counts.end())
        return result;
    const auto& fleet = found->second.results;
    const auto own = this->reported_results[target.incarnation_hash];
    result.is_listed = true;
    result.peers_in_flight = found->second.in_flight;
    result.peer_responses = fleet.responses - std::min(fleet.responses, own.responses);
    result.peer_failures = fleet.failures - std::min(fleet.failures, own.failures);
    return result;
}

} // namespace samphirespool::gateway
