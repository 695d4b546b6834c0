// Compares the times of the last reports.
#include "exchange/absence_watch.hpp"

#include <algorithm>

namespace samphirespool::exchange {

void absence_watch::set_members(const member_group& group, helpers::time_point now) {
    std::unordered_map<std::string, helpers::time_point> kept;
    for (const auto& each : group) {
        const auto found = this->last_heard.find(each.name);
        kept[each.name] = found == this->last_heard.end() ? now : found->second;
    }
    this->last_heard = std::move(kept);
}

void absence_watch::heard(const std::string& name, helpers::time_point now) {
    if (const auto found = this->last_heard.find(name); found != this->last_heard.end())
        found->second = now;
}

void absence_watch::set_hub(bool is_hub, helpers::time_point now) {
    if (!is_hub)
        this->hub_since.reset();
    else if (!this->hub_since)
        this->hub_since = now;
}

bool absence_watch::hears_half(const std::string& self, helpers::time_point now) const {
    const auto heard =
        std::count_if(this->last_heard.begin(), this->last_heard.end(), [&](const auto& each) {
            return each.first == self || now - each.second < this->timing.least_tenure;
        });
    return static_cast<std::size_t>(heard) * 2 >= this->last_heard.size();
}

std::optional<std::string> absence_watch::take_absent(const std::string& self,
                                                      helpers::time_point now) {
    if (!this->hub_since || now - *this->hub_since < this->timing.least_tenure ||
        now < this->next_removal || !this->hears_half(self, now))
        return std::nullopt;
    for (const auto& [name, heard] : this->last_heard) {
        if (name == self || now - heard < this->timing.absence)
            continue;
        this->next_removal = now + this->timing.pause;
        return name;
    }
    return std::nullopt;
}

} // namespace samphirespool::exchange
