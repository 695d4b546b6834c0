// Counts failures per target and keeps the set of ejected ones.
#include "admission/outlier_detector.hpp"

#include <algorithm>
#include <cmath>

namespace samphirespool::admission {

void outlier_detector::set_targets(std::span<const helpers::target_id> listed) {
    const std::unordered_set<helpers::target_id> wanted(listed.begin(), listed.end());
    const auto gone = [&](helpers::target_id target) { return !wanted.contains(target); };
    std::erase_if(this->targets, [&](const auto& item) { return gone(item.first); });
    std::erase_if(this->out, gone);
    for (const auto target : listed)
        this->targets.try_emplace(target);
}

std::size_t outlier_detector::most_ejected() const {
    const auto count = this->targets.size();
    if (count < 2)
        return 0;
    const auto share = std::floor(this->limits.most_ejected * static_cast<double>(count));
    return std::max<std::size_t>(1, static_cast<std::size_t>(share));
}

bool outlier_detector::is_outlier(const standing& judged) const {
    if (judged.in_a_row >= this->limits.consecutive_failures)
        return true;
    return judged.requests >= this->limits.min_requests &&
           judged.failures >= this->limits.failure_share * judged.requests;
}

helpers::duration outlier_detector::ejection_length(std::uint32_t earlier) const {
    constexpr std::uint32_t most_doublings = 16;
    const auto length = this->limits.first_ejection * (1U << std::min(earlier, most_doublings));
    return std::min<helpers::duration>(length, this->limits.longest_ejection);
}

bool outlier_detector::record(helpers::target_id target, bool failed, helpers::time_point now) {
    const auto found = this->targets.find(target);
    if (found == this->targets.end())
        return false;
    auto& judged = found->second;
    if (now - judged.window_start >= this->limits.window) {
        judged.window_start = now;
        judged.requests = 0;
        judged.failures = 0;
    }
    ++judged.requests;
    judged.failures += failed ? 1 : 0;
    judged.in_a_row = failed ? judged.in_a_row + 1 : 0;
    if (!failed || !this->is_outlier(judged) || this->out.contains(target))
        return false;
    if (this->out.size() >= this->most_ejected())
        return false;
    // A target that behaved since its last ejection for as long as the longest starts afresh.
    if (now - judged.ejected_until >= this->limits.longest_ejection)
        judged.ejections = 0;
    judged.ejected_until = now + this->ejection_length(judged.ejections++);
    this->out.insert(target);
    return true;
}

bool outlier_detector::advance(helpers::time_point now) {
    return std::erase_if(this->out, [&](helpers::target_id target) {
               auto& judged = this->targets.at(target);
               if (judged.ejected_until > now)
                   return false;
               judged.in_a_row = 0;
               judged.requests = 0;
               judged.failures = 0;
               return true;
           }) > 0;
}

std::optional<helpers::time_point> outlier_detector::next_change() const {
    std::optional<helpers::time_point> earliest;
    for (const auto target : this->out) {
        const auto until = this->targets.at(target).ejected_until;
        earliest = earliest ? std::min(*earliest, until) : until;
    }
    return earliest;
}

} // namespace samphirespool::admission
