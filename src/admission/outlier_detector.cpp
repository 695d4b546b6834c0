// Counts failures per target and keeps the set of ejected ones.
#include "admission/outlier_detector.hpp"

#include <algorithm>
#include <cmath>

namespace samphirespool::admission {

void outlier_detector::set_targets(std::span<const helpers::target_id> listed) {
    const std::unordered_set<helpers::target_id> listed_set(listed.begin(), listed.end());
    const auto is_removed = [&](helpers::target_id target) { return !listed_set.contains(target); };
    std::erase_if(this->targets, [&](const auto& item) { return is_removed(item.first); });
    std::erase_if(this->ejected_targets, is_removed);
    for (const auto target : listed)
        this->targets.try_emplace(target);
}

std::size_t outlier_detector::max_ejected() const {
    const auto count = this->targets.size();
    if (count < 2)
        return 0;
    const auto share = std::floor(this->limits.max_ejected_share * static_cast<double>(count));
    return std::max<std::size_t>(1, static_cast<std::size_t>(share));
}

bool outlier_detector::is_outlier(const target_state& state) const {
    if (state.consecutive_failures >= this->limits.consecutive_failures)
        return true;
    return state.requests >= this->limits.min_requests &&
           state.failures >= this->limits.failure_share * state.requests;
}

helpers::duration outlier_detector::ejection_duration(std::uint32_t earlier_ejections) const {
    constexpr std::uint32_t max_doublings = 16;
    const auto duration =
        this->limits.first_ejection * (1U << std::min(earlier_ejections, max_doublings));
    return std::min<helpers::duration>(duration, this->limits.longest_ejection);
}

bool outlier_detector::record(helpers::target_id target, bool failed, helpers::time_point now) {
    const auto found = this->targets.find(target);
    if (found == this->targets.end())
        return false;
    auto& state = found->second;
    if (now - state.window_start >= this->limits.window) {
        state.window_start = now;
        state.requests = 0;
        state.failures = 0;
    }
    ++state.requests;
    state.failures += failed ? 1 : 0;
    state.consecutive_failures = failed ? state.consecutive_failures + 1 : 0;
    if (!failed || !this->is_outlier(state) || this->ejected_targets.contains(target))
        return false;
    if (this->ejected_targets.size() >= this->max_ejected())
        return false;
    // A target whose last ejection ended at least longest_ejection ago starts again with the first
    // duration.
    if (now - state.ejected_until >= this->limits.longest_ejection)
        state.ejections = 0;
    state.ejected_until = now + this->ejection_duration(state.ejections++);
    this->ejected_targets.insert(target);
    return true;
}

bool outlier_detector::advance(helpers::time_point now) {
    return std::erase_if(this->ejected_targets, [&](helpers::target_id target) {
               auto& state = this->targets.at(target);
               if (state.ejected_until > now)
                   return false;
               state.consecutive_failures = 0;
               state.requests = 0;
               state.failures = 0;
               return true;
           }) > 0;
}

std::optional<helpers::time_point> outlier_detector::next_change() const {
    std::optional<helpers::time_point> earliest;
    for (const auto target : this->ejected_targets) {
        const auto until = this->targets.at(target).ejected_until;
        earliest = earliest ? std::min(*earliest, until) : until;
    }
    return earliest;
}

} // namespace samphirespool::admission
