// Divides the allowances.
#include "admission/fleet_share.hpp"

#include <algorithm>
#include <cmath>

namespace samphirespool::admission {

namespace {

// Part of an allowance that is handed out; the rest covers gateways that others do not know yet.
constexpr double handed_out = 0.85;

std::uint64_t rank_of(std::string_view target, std::string_view member) {
    return helpers::hash_name(std::string(target).append("|").append(member));
}

} // namespace

fleet_retry_budget::recent_usage& fleet_retry_budget::usage_of(helpers::service_id service) {
    return this->services.try_emplace(service, this->limits.window).first->second;
}

void fleet_retry_budget::record_request(helpers::service_id service, helpers::time_point now) {
    ++this->usage_of(service).current(now).requests;
}

bool fleet_retry_budget::try_spend(helpers::service_id service, helpers::time_point now) {
    auto& recent = this->usage_of(service);
    const auto used = recent.sum(now);
    const auto burst = this->limits.burst * handed_out /
                       static_cast<double>(std::max<std::size_t>(1, this->members));
    const auto allowed = this->limits.ratio * handed_out * used.requests + burst;
    if (used.repeats + 1 > allowed)
        return false;
    ++recent.current(now).repeats;
    return true;
}

void cold_target_share::set_members(std::vector<std::string> names) {
    this->members = std::move(names);
    if (std::find(this->members.begin(), this->members.end(), this->self) == this->members.end())
        this->members.push_back(this->self);
}

// With fewer gateways than allowed requests each gets an equal number. With more, those that rank
// first for the target get one each.
std::size_t cold_target_share::share_of(std::string_view target, double rate) const {
    const auto whole =
        std::max(1.0, std::floor((rate * this->limits.overage + this->limits.slack) * handed_out));
    const auto total = static_cast<std::size_t>(whole);
    const auto count = std::max<std::size_t>(1, this->members.size());
    if (count <= total)
        return total / count;
    const auto own = rank_of(target, this->self);
    const auto before =
        std::count_if(this->members.begin(), this->members.end(),
                      [&](const std::string& member) { return rank_of(target, member) < own; });
    return static_cast<std::size_t>(before) < total ? 1 : 0;
}

bool cold_target_share::may_send(std::string_view target, double rate,
                                 const std::deque<helpers::time_point>& sent,
                                 helpers::time_point now) const {
    const auto recent = std::count_if(sent.begin(), sent.end(),
                                      [now](helpers::time_point at) { return now - at < window; });
    return static_cast<std::size_t>(recent) < this->share_of(target, rate);
}

} // namespace samphirespool::admission
