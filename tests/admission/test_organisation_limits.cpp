// Tests of fleet-wide limits: routers and an owner in one process; the test passes the messages.
#include "admission/limit_owner.hpp"
#include "admission/organisation_limits.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace samphirespool;
using namespace std::chrono_literals;

namespace {

constexpr helpers::organisation_id organisation{77};

struct limits_test {
    admission::limit_owner owner;
    std::vector<admission::organisation_limits> routers;
    helpers::time_point now{1h};

    limits_test(std::size_t count, const admission::organisation_limit& limit) {
        this->owner.set_limit(organisation, limit);
        this->owner.set_routers(count);
        for (std::size_t i = 1; i <= count; ++i) {
            this->routers.emplace_back(helpers::router_id{i});
            this->routers.back().set_routers(count);
            this->routers.back().set_limit(organisation, limit);
        }
    }

    // Delivers all due reports and their replies; returns the number of reports.
    std::size_t exchange() {
        std::size_t reports = 0;
        for (auto& router : this->routers)
            for (const auto& report : router.usage_reports(this->now)) {
                ++reports;
                router.apply(this->owner.report(report, this->now), this->now);
            }
        return reports;
    }

    std::uint32_t in_flight() const {
        std::uint32_t sum = 0;
        for (const auto& router : this->routers)
            sum += router.in_flight(organisation);
        return sum;
    }
};

} // namespace

TEST_CASE("an organisation within its free shares causes no messages") {
    limits_test test(8, {160, 160});
    for (int second = 0; second < 10; ++second) {
        for (auto& router : test.routers)
            for (int i = 0; i < 5; ++i) {
                router.on_enqueued(organisation);
                CHECK(router.try_start(organisation, test.now));
                router.finish(organisation, test.now);
            }
        CHECK(test.exchange() == 0);
        test.now += 1s;
    }
}

TEST_CASE("slots in flight never exceed the limit, wherever the requests enter") {
    limits_test test(8, {0, 10});
    for (int round = 0; round < 200; ++round) {
        auto& router = test.routers[static_cast<std::size_t>(round) % (round < 100 ? 1 : 8)];
        router.on_enqueued(organisation);
        router.try_start(organisation, test.now);
        test.exchange();
        for (auto& each : test.routers)
            each.try_start(organisation, test.now);
        CHECK(test.in_flight() <= 10);
        if (round % 3 == 0 && test.in_flight() > 5)
            for (auto& each : test.routers)
                if (each.in_flight(organisation) > 0)
                    each.finish(organisation, test.now);
        test.now += 120ms;
    }
    CHECK(test.in_flight() >= 5);
}

TEST_CASE("one router may use the whole limit after it has reported its demand") {
    limits_test test(8, {0, 10});
    auto& router = test.routers[3];
    for (int i = 0; i < 20; ++i)
        router.on_enqueued(organisation);
    for (int round = 0; round < 4; ++round) {
        while (router.try_start(organisation, test.now)) {
        }
        test.exchange();
        test.now += 150ms;
    }
    CHECK(router.in_flight(organisation) == 10);
}

TEST_CASE("the rate over all routers stays within the limit and reaches it") {
    limits_test test(4, {100, 0});
    std::uint32_t started = 0;
    constexpr int steps = 200;
    for (int step = 0; step < steps; ++step) {
        for (auto& router : test.routers)
            for (int i = 0; i < 10; ++i) {
                router.on_enqueued(organisation);
                if (!router.try_start(organisation, test.now))
                    continue;
                ++started;
                router.finish(organisation, test.now);
            }
        test.exchange();
        test.now += 100ms;
    }
    // 20 seconds at 100 per second, plus one second of tokens in the full bucket at the start.
    CHECK(started <= 2100);
    CHECK(started >= 1800);
}

TEST_CASE(
    "a router whose owner does not reply uses its even share of the limit, at least one request") {
    limits_test test(8, {0, 4});
    auto& router = test.routers[0];
    router.on_enqueued(organisation);
    CHECK_FALSE(router.try_start(organisation, test.now));
    CHECK(router.usage_reports(test.now).size() == 1);
    for (int i = 0; i < 20; ++i) {
        test.now += 150ms;
        router.try_start(organisation, test.now);
        router.usage_reports(test.now);
    }
    CHECK(router.in_flight(organisation) == 1);
}

TEST_CASE(
    "a share that its router no longer renews goes to other routers only after it has expired") {
    limits_test test(2, {0, 4});
    const auto share = [&](std::uint64_t router) {
        return test.owner.report({organisation, {router}, 0, 4, 0}, test.now).in_flight;
    };
    // Each router has a free share of one slot; the pool is two.
    CHECK(share(1) == 2);
    CHECK(share(2) == 0);
    test.now += 2s;
    CHECK(share(2) == 0);
    test.now += 1s;
    CHECK(share(2) == 2);
}

TEST_CASE("the ownership of limits spreads over all routers") {
    std::vector<helpers::router_id> routers;
    for (std::uint64_t i = 0; i < 10; ++i)
        routers.push_back({helpers::hash_name("router-" + std::to_string(i))});
    std::vector<int> owned(10);
    for (std::uint64_t i = 0; i < 1000; ++i) {
        const auto owner =
            admission::limit_owner_of({helpers::hash_name(std::to_string(i))}, routers);
        ++owned[static_cast<std::size_t>(std::ranges::find(routers, owner) - routers.begin())];
    }
    for (const auto count : owned)
        CHECK(count > 50);
}
