// Computes this gateway's share of requests to cold targets.
#include "admission/fleet_share.hpp"

#include "admission/member_rank.hpp"

#include <algorithm>
#include <cmath>

namespace samphirespool::admission {

namespace {

// Fraction of a limit that is divided among the known gateways. The rest covers gateways that are
// not in every member list yet.
constexpr double divided_fraction = 0.85;

} // namespace

void cold_target_share::set_members(std::vector<std::string> names) {
    this->members = std::move(names);
    if (std::find(this->members.begin(), this->members.end(), this->self) == this->members.end())
        this->members.push_back(this->self);
}

// If there are at most as many gateways as allowed requests, each gateway gets an equal number.
// Otherwise the gateways that rank first for the target get one each.
std::size_t cold_target_share::share_of(std::string_view target, double rate) const {
    const auto limit = std::max(
        1.0, std::floor((rate * this->limits.overage + this->limits.slack) * divided_fraction));
    const auto total = static_cast<std::size_t>(limit);
    const auto count = this->members.size();
    if (count == 0)
        return 0;
    if (count <= total)
        return total / count;
    return rank_among(this->members, this->self, target) < total ? 1 : 0;
}

bool cold_target_share::may_send(std::string_view target, double rate,
                                 const std::deque<helpers::time_point>& sent,
                                 helpers::time_point now) const {
    if (now - this->started_at < window)
        return false;
    const auto recent = std::count_if(sent.begin(), sent.end(),
                                      [now](helpers::time_point at) { return now - at < window; });
    return static_cast<std::size_t>(recent) < this->share_of(target, rate);
}

} // namespace samphirespool::admission
