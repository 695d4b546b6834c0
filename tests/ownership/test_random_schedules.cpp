// Capacity limits under seeded random schedules of faults.
#include "tests/ownership/random_schedule.hpp"

#include <doctest/doctest.h>

#include <cstdlib>

using namespace samphirespool;

namespace {

struct tally {
    std::size_t violations = 0;
    std::size_t broken_invariants = 0;
    std::size_t granted = 0;
};

// Number of schedules per shape; the environment variable SAMPHIRESPOOL_SCHEDULES overrides it.
std::uint64_t schedules() {
    const char* value = std::getenv("SAMPHIRESPOOL_SCHEDULES");
    return value == nullptr ? 40 : std::strtoull(value, nullptr, 10);
}

tally run_all(const tests::region_shape& shape) {
    tally sum;
    for (std::uint64_t seed = 1; seed <= schedules(); ++seed) {
        tests::random_schedule schedule(shape, seed);
        schedule.run(600);
        if (schedule.region.violations > 0)
            MESSAGE("seed ", seed, " violations ", schedule.region.violations);
        sum.violations += schedule.region.violations;
        sum.broken_invariants += schedule.region.broken_invariants;
        sum.granted += schedule.region.granted;
    }
    return sum;
}

} // namespace

TEST_CASE("no schedule of faults exceeds the capacity: four routers in one data centre") {
    const auto sum = run_all({4, 4});
    CHECK(sum.violations == 0);
    CHECK(sum.broken_invariants == 0);
    CHECK(sum.granted > 100 * schedules());
}

TEST_CASE("no schedule of faults exceeds the capacity: six routers in three data centres") {
    const auto sum = run_all({6, 5, {0, 0, 1, 1, 2, 2}, 2});
    CHECK(sum.violations == 0);
    CHECK(sum.broken_invariants == 0);
    CHECK(sum.granted > 100 * schedules());
}

TEST_CASE("no schedule of faults exceeds the capacity: a cold target among eight routers") {
    const auto sum = run_all({8, 2, {0, 0, 0, 0, 1, 1, 1, 1}});
    CHECK(sum.violations == 0);
    CHECK(sum.broken_invariants == 0);
    CHECK(sum.granted > 50 * schedules());
}
