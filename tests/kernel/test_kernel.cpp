// Tests of the kernel and helpers: timers, error table, plug-in registry, hybrid logical clock,
// endpoints.
#include "helpers/endpoint.hpp"
#include "kernel/error.hpp"
#include "kernel/hybrid_clock.hpp"
#include "kernel/loop.hpp"
#include "kernel/registry.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <vector>

using namespace samphirespool;
using namespace std::chrono_literals;

TEST_CASE("manual loop runs tasks in order of due time") {
    kernel::manual_loop loop;
    std::vector<int> order;
    loop.schedule(20ms, [&] { order.push_back(2); });
    loop.schedule(10ms, [&] { order.push_back(1); });
    const auto cancelled = loop.schedule(15ms, [&] { order.push_back(9); });
    loop.cancel(cancelled);
    loop.advance(15ms);
    CHECK(order == std::vector<int>{1});
    loop.advance(5ms);
    CHECK(order == std::vector<int>{1, 2});
}

TEST_CASE("a task may schedule and cancel other tasks") {
    kernel::manual_loop loop;
    int runs = 0;
    kernel::timer_id cancelled = 0;
    loop.schedule(1ms, [&] {
        loop.cancel(cancelled);
        loop.schedule(1ms, [&] { ++runs; });
    });
    cancelled = loop.schedule(1ms, [&] { runs += 100; });
    loop.advance(10ms);
    CHECK(runs == 1);
}

TEST_CASE("every error kind has a code, an error status and an outcome") {
    for (int i = 0; i < static_cast<int>(kernel::error_kind::count); ++i) {
        const auto& mapping = kernel::error_mapping_for(static_cast<kernel::error_kind>(i));
        CHECK_FALSE(mapping.code.empty());
        CHECK(mapping.http_status >= 400);
        CHECK(mapping.outcome != kernel::request_outcome::answered);
    }
}

namespace {

struct shape {
    virtual ~shape() = default;
    virtual int corners() const = 0;
};

struct triangle final : shape {
    int corners() const override { return 3; }
};

using shape_registry = kernel::registry<shape>;
const kernel::registration<shape_registry> triangle_registration("triangle", [] {
    return std::make_unique<triangle>();
});

} // namespace

TEST_CASE("the registry creates a registered plug-in by name") {
    const auto plug_in = shape_registry::instance().make("triangle");
    REQUIRE(plug_in != nullptr);
    CHECK(plug_in->corners() == 3);
    CHECK(shape_registry::instance().make("square") == nullptr);
}

TEST_CASE("hybrid time increases with every event and message, and ignores times too far ahead") {
    kernel::manual_clock clock;
    kernel::hybrid_clock hybrid(clock);
    const auto first = hybrid.tick();
    const auto second = hybrid.tick();
    CHECK(first < second);
    const auto third = hybrid.observe({500, 3});
    CHECK(third > kernel::hybrid_time{500, 3});
    const auto far_ahead = hybrid.observe({10'000'000, 0});
    CHECK(far_ahead.wall == 500);
}

TEST_CASE("an endpoint is a numeric IP address with a port") {
    CHECK(helpers::parse_endpoint("10.0.0.1:80") == helpers::endpoint{"10.0.0.1", 80});
    CHECK(helpers::parse_endpoint("[::1]:9") == helpers::endpoint{"::1", 9});
    CHECK_FALSE(helpers::parse_endpoint("localhost:80"));
    CHECK_FALSE(helpers::parse_endpoint("10.0.0.1:99999"));
    CHECK_FALSE(helpers::parse_endpoint("10.0.0.1"));
}
