// Tests of the division of a cold target's rate: no restart of gateways may take the sum of their
// requests within a second above the bound.
#include "admission/brittle_services.hpp"
#include "admission/fleet_share.hpp"
#include "admission/target_limits.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <random>

using namespace samphirespool;
using namespace std::chrono_literals;

namespace {

constexpr admission::cold_limits limits{1.5, 5};
constexpr double rate = 12;
constexpr helpers::duration step = 10ms;

struct gateway_process {
    admission::cold_target_share share;
    std::deque<helpers::time_point> sent;
    helpers::time_point lists_at{};
};

std::string name_of(std::size_t index) {
    return "g" + std::to_string(index);
}

// The most requests that a cold target gets in a second, if all gateways send as many as they may
// and are killed at random, one or all of them.
std::size_t worst_second(std::size_t count, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const auto up_to = [&random](helpers::duration most) {
        return helpers::duration(
            std::uniform_int_distribution<std::int64_t>(0, most.count())(random));
    };
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i)
        names.push_back(name_of(i));
    helpers::time_point now{1000s};
    std::vector<std::optional<gateway_process>> gateways(count);
    std::vector<helpers::time_point> starts_at(count);
    std::vector<helpers::time_point> all;
    for (auto passed = 0ns; passed < 30s; passed += step) {
        now += step;
        const bool kills_all = std::bernoulli_distribution(0.005)(random);
        for (std::size_t i = 0; i < count; ++i) {
            if (kills_all || std::bernoulli_distribution(0.0005)(random)) {
                gateways[i].reset();
                starts_at[i] = now + 50ms + up_to(800ms);
            }
            if (!gateways[i] && now >= starts_at[i])
                // A process may read the targets before the members.
                gateways[i].emplace(gateway_process{
                    admission::cold_target_share(name_of(i), limits, now), {}, now + up_to(2s)});
            if (!gateways[i])
                continue;
            auto& each = *gateways[i];
            if (now >= each.lists_at)
                each.share.set_members(names);
            while (each.share.may_send("cold", rate, each.sent, now)) {
                each.sent.push_back(now);
                all.push_back(now);
            }
        }
    }
    std::size_t worst = 0;
    for (std::size_t first = 0, end = 0; first < all.size(); ++first) {
        while (end < all.size() && all[end] - all[first] < 1s)
            ++end;
        worst = std::max(worst, end - first);
    }
    return worst;
}

} // namespace

// Guards against FAILBACK: a restarted gateway sends its share again within the second, or the
// whole rate before it knows the other gateways.
TEST_CASE("cold share fleet: restarts do not exceed the rate of a cold target") {
    for (const std::size_t count : {9U, 64U, 300U})
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            CAPTURE(count);
            CAPTURE(seed);
            const auto worst = worst_second(count, seed);
            CHECK(worst > 0);
            CHECK(static_cast<double>(worst) <= rate * limits.overage + limits.slack);
        }
}

// Guards against LIMIT: a gateway that does not know the others yet takes a limit for its own.
TEST_CASE("target limits: no share before the members are known") {
    const helpers::time_point now{1000s};
    admission::target_limits shares("g1");
    shares.on_response(7, 5.0, now);
    CHECK_FALSE(shares.may_send(7, now));
    shares.set_members({"g1", "g2"});
    CHECK(shares.may_send(7, now));
    admission::brittle_services slots("g1");
    const auto service = helpers::id_of<helpers::service_id>("desk");
    slots.on_response(service, 3, now);
    CHECK_FALSE(slots.may_send(service, 1, "t", 8, 0, now));
    slots.set_members({"g1", "g2"});
    CHECK(slots.may_send(service, 1, "t", 8, 0, now));
}
