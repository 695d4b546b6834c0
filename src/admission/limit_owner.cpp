// Max-min fair division of a limit.
#include "admission/limit_owner.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace samphirespool::admission {

namespace {

// Fraction of a limit that is divided into free shares.
constexpr double free_fraction = 0.5;

// Returns the level at which the sum of min(demand, level) over all demands equals the pool;
// infinity if the demands are smaller than the pool.
double max_min_level(std::vector<double> demands, double pool) {
    std::ranges::sort(demands);
    auto remaining = static_cast<double>(demands.size());
    for (const auto demand : demands) {
        if (demand * remaining >= pool)
            return pool / remaining;
        pool -= demand;
        remaining -= 1;
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
    const auto rate = free_fraction * limit.requests_per_second / count;
    result.rate = rate < 1 ? 0 : rate;
    result.in_flight = static_cast<std::uint32_t>(free_fraction * limit.in_flight / count);
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

double limit_owner::share_of(const router_shares& shares, helpers::router_id router, double pool,
                             double router_share::*wanted, double router_share::*held) {
    std::vector<double> demands;
    double held_by_other_routers = 0;
    for (const auto& [other, share] : shares) {
        demands.push_back(share.*wanted);
        if (other != router)
            held_by_other_routers += share.*held;
    }
    const auto fair = std::min(shares.at(router).*wanted, max_min_level(std::move(demands), pool));
    return std::max(0.0, std::min(fair, pool - held_by_other_routers));
}

limit_share limit_owner::report(const usage_report& usage, helpers::time_point now) {
    limit_share reply{usage.organisation, 0, 0, share_validity};
    const auto limit = this->limits.find(usage.organisation);
    if (limit == this->limits.end())
        return reply;
    auto& shares = this->shares[usage.organisation];
    std::erase_if(shares, [&](const auto& item) { return item.second.expires_at <= now; });
    auto& reporter = shares[usage.router];
    reporter.wanted_rate = usage.wanted_rate;
    reporter.wanted_in_flight = std::max(usage.wanted_in_flight, usage.used_in_flight);
    const auto free = free_share_of(limit->second, this->routers);
    const auto count = static_cast<double>(this->routers);
    const auto rate_pool = limit->second.requests_per_second - free.rate * count;
    const auto in_flight_pool = limit->second.in_flight - free.in_flight * count;
    reporter.rate =
        share_of(shares, usage.router, rate_pool, &router_share::wanted_rate, &router_share::rate);
    reporter.in_flight = share_of(shares, usage.router, in_flight_pool,
                                  &router_share::wanted_in_flight, &router_share::in_flight);
    // Slots are integers: a slot left over by rounding goes to the first router that reports.
    reporter.in_flight = std::floor(reporter.in_flight);
    if (reporter.in_flight < 1 && reporter.wanted_in_flight >= 1) {
        double held = 0;
        for (const auto& [router, other] : shares)
            held += other.in_flight;
        reporter.in_flight = held + 1 <= in_flight_pool ? 1 : 0;
    }
    // Slots in use cannot be revoked; they are released when their requests finish.
    reporter.in_flight = std::max(reporter.in_flight, static_cast<double>(usage.used_in_flight));
    reporter.expires_at = now + share_validity;
    reply.rate = reporter.rate;
    reply.in_flight = static_cast<std::uint32_t>(reporter.in_flight);
    return reply;
}

} // namespace samphirespool::admission
