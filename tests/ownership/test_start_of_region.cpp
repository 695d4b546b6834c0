// Requests that arrive before a region has its first roster: they wait, cause few messages, and are
// served once the routers are members.
#include "tests/ownership/fake_region.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;
using namespace std::chrono_literals;

TEST_CASE("requests that arrive before the first roster are served soon after it") {
    tests::fake_region region({.routers = 4, .capacity = 64});
    const auto full = region.roster;
    region.set_roster({});
    region.run(100ms);
    for (std::size_t i = 0; i < 4; ++i)
        for (int n = 0; n < 3; ++n)
            region.request(i, 20s);
    const auto before = region.messages;
    region.run(2s);
    CHECK(region.in_use() == 0);
    // Each request is retried at intervals, but not forwarded from router to router forever.
    CHECK(region.messages - before < 400);
    region.set_roster(full);
    region.run(4s);
    CHECK(region.in_use() == 12);
    for (std::size_t i = 0; i < 4; ++i)
        while (region.in_use(i) > 0)
            region.finish_one(i);
    region.run(1s);
    for (std::size_t i = 0; i < 4; ++i)
        CHECK(region.at(i).manager.outstanding() == 0);
    CHECK(region.violations == 0);
}
