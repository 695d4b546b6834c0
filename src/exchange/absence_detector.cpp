// Detects absent members by the times of their last reports.
#include "exchange/absence_detector.hpp"

#include <algorithm>

namespace samphirespool::exchange {

void absence_detector::set_members(const member_group& group, helpers::time_point now) {
    std::unordered_map<std::string, helpers::time_point> updated;
    for (const auto& each : group) {
        const auto found = this->last_report_at.find(each.name);
        updated[each.name] = found == this->last_report_at.end() ? now : found->second;
    }
    this->last_report_at = std::move(updated);
}

void absence_detector::on_report(const std::string& name, helpers::time_point now) {
    if (const auto found = this->last_report_at.find(name); found != this->last_report_at.end())
        found->second = now;
}

void absence_detector::set_is_hub(bool is_hub, helpers::time_point now) {
    if (!is_hub)
        this->hub_since.reset();
    else if (!this->hub_since)
        this->hub_since = now;
}

bool absence_detector::has_reports_from_half(const std::string& self,
                                             helpers::time_point now) const {
    const auto reporting = std::count_if(
        this->last_report_at.begin(), this->last_report_at.end(), [&](const auto& each) {
            return each.first == self || now - each.second < this->timing.min_hub_time;
        });
    return static_cast<std::size_t>(reporting) * 2 >= this->last_report_at.size();
}

std::optional<std::string> absence_detector::pop_absent_member(const std::string& self,
                                                               helpers::time_point now) {
    if (!this->hub_since || now - *this->hub_since < this->timing.min_hub_time ||
        now < this->next_removal_at || !this->has_reports_from_half(self, now))
        return std::nullopt;
    for (const auto& [name, reported_at] : this->last_report_at) {
        if (name == self || now - reported_at < this->timing.absence_timeout)
            continue;
        this->next_removal_at = now + this->timing.removal_interval;
        return name;
    }
    return std::nullopt;
}

} // namespace samphirespool::exchange
