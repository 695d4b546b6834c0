// Max-min division of a limit.
#include "admission/limit_owner.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace samphirespool::admission {

namespace {

constexpr double free_part = 0.5;

// The level at which min(demand, level) over all demands uses up the pool.
double fair_level(std::vector<double> demands, double pool) {
    std::ranges::sort(demands);
    auto left = static_cast<double>(demands.size());
    for (const auto demand : demands) {
        if (demand * left >= pool)
            return pool / left;
        pool -= demand;
        left -= 1;
    }
    return std::numeric_limits<double>::infinity();
}

std::uint64_t score(helpers::organisation_id organisation, helpers::router_id router) {
    auto hash = (organisation.value ^ (router.value * 0x9e3779b97f4a7c15ULL));
    hash *= 0xd6e8feb86659fd93ULL;
    hash ^= hash >> 32;
    return hash * 0xd6e8feb86659fd93ULL;
}

} // namespace

free_share free_share_of(const organisation_limit& limit, std::size_t routers) {
    const auto count = static_cast<double>(std::max<std::size_t>(1, routers));
    free_share result;
    const auto rate = free_part * limit.requests_per_second / count;
    result.rate = rate < 1 ? 0 : rate;
    result.in_flight = static_cast<std::uint32_t>(free_part * limit.in_flight / count);
    return result;
}

helpers::router_id limit_owner_of(helpers::organisation_id organisation,
                                  std::span<const helpers::router_id> routers) {
    if (routers.empty())
        return {};
    return *std::ranges::max_element(
        routers, {}, [&](helpers::router_id router) { return score(organisation, router); });
}

void limit_owner::set_limit(helpers::organisation_id organisation,
                            const organisation_limit& limit) {
    this->limits[organisation] = limit;
}

double limit_owner::share_of(const holdings& all, helpers::router_id router, double pool,
                             double holding::*wanted, double holding::*held) {
    std::vector<double> demands;
    double held_by_others = 0;
    for (const auto& [other, holding] : all) {
        demands.push_back(holding.*wanted);
        if (other != router)
            held_by_others += holding.*held;
    }
    const auto fair = std::min(all.at(router).*wanted, fair_level(std::move(demands), pool));
    return std::max(0.0, std::min(fair, pool - held_by_others));
}

limit_share limit_owner::report(const usage_report& usage, helpers::time_point now) {
    limit_share answer{usage.organisation, 0, 0, share_validity};
    const auto limit = this->limits.find(usage.organisation);
    if (limit == this->limits.end())
        return answer;
    auto& all = this->shares[usage.organisation];
    std::erase_if(all, [&](const auto& item) { return item.second.until <= now; });
    auto& own = all[usage.router];
    own.wanted_rate = usage.wanted_rate;
    own.wanted_in_flight = std::max(usage.wanted_in_flight, usage.used_in_flight);
    const auto free = free_share_of(limit->second, this->routers);
    const auto count = static_cast<double>(this->routers);
    const auto rate_pool = limit->second.requests_per_second - free.rate * count;
    const auto in_flight_pool = limit->second.in_flight - free.in_flight * count;
    own.rate = share_of(all, usage.router, rate_pool, &holding::wanted_rate, &holding::rate);
    own.in_flight = share_of(all, usage.router, in_flight_pool, &holding::wanted_in_flight,
                             &holding::in_flight);
    // Slots are whole: the one that is left over by rounding goes to whoever asks first.
    own.in_flight = std::floor(own.in_flight);
    if (own.in_flight < 1 && own.wanted_in_flight >= 1) {
        double held = 0;
        for (const auto& [router, other] : all)
            held += other.in_flight;
        own.in_flight = held + 1 <= in_flight_pool ? 1 : 0;
    }
    // Slots in use cannot be withdrawn; they only shrink as their requests end.
    own.in_flight = std::max(own.in_flight, static_cast<double>(usage.used_in_flight));
    own.until = now + share_validity;
    answer.rate = own.rate;
    answer.in_flight = static_cast<std::uint32_t>(own.in_flight);
    return answer;
}

} // namespace samphirespool::admission
