// Tests of outlier detection over the results of all gateways, and of the counters it uses.
#include "admission/fleet_outliers.hpp"
#include "admission/sliding_counts.hpp"
#include "admission/target_load.hpp"

#include <doctest/doctest.h>

#include <vector>

using namespace samphirespool;
using namespace std::chrono_literals;
using admission::target_results;

namespace {

std::vector<target_results> healthy_targets(std::size_t count) {
    return std::vector<target_results>(count, {{4, 0}, {15, 0}});
}

} // namespace

TEST_CASE("fleet outliers: a few failures among few requests are enough, a single one is not") {
    auto targets = healthy_targets(90);
    targets[7] = {{1, 2}, {4, 3}};
    CHECK(admission::find_outliers(targets) == std::vector<std::size_t>{7});
    targets[7] = {{0, 1}, {6, 1}};
    CHECK(admission::find_outliers(targets).empty());
}

TEST_CASE("fleet outliers: failures common to all targets make none an outlier") {
    std::vector<target_results> targets(5, {{20, 10}, {80, 40}});
    CHECK(admission::find_outliers(targets).empty());
    targets[2] = {{4, 26}, {16, 104}};
    CHECK(admission::find_outliers(targets) == std::vector<std::size_t>{2});
}

TEST_CASE("fleet outliers: a target that serves most of its requests is kept") {
    std::vector<target_results> targets(4, {{120, 5}, {480, 20}});
    targets[1] = {{115, 25}, {460, 90}};
    CHECK(admission::find_outliers(targets).empty());
}

TEST_CASE("fleet outliers: a target that is healthy for the own data centre is kept despite "
          "failures elsewhere") {
    auto targets = healthy_targets(30);
    targets[4] = {{6, 0}, {20, 9}};
    CHECK(admission::find_outliers(targets).empty());
    targets[4] = {{1, 0}, {20, 9}};
    CHECK(admission::find_outliers(targets) == std::vector<std::size_t>{4});
}

TEST_CASE("fleet outliers: at most a third of the targets, clearest first") {
    auto targets = healthy_targets(9);
    for (std::size_t i = 0; i < 4; ++i)
        targets[i] = {{0, 10 + static_cast<std::uint32_t>(i)}, {0, 20}};
    CHECK(admission::find_outliers(targets) == std::vector<std::size_t>{3, 2, 1});
    CHECK(admission::find_outliers(std::span(targets).first(2)).empty());
    CHECK(admission::find_outliers({}).empty());
}

TEST_CASE("target load: results leave the window before a suspicion ends, and the next one lasts "
          "longer") {
    admission::target_load load;
    helpers::time_point now{100s};
    load.record_result(true, now);
    load.record_result(false, now);
    CHECK(load.recent_results(now) == admission::result_counts{1, 1});
    REQUIRE(load.suspect(now));
    CHECK_FALSE(load.suspect(now + 1s));
    const auto first = load.suspicion_end() - now;
    now = load.suspicion_end();
    CHECK(load.recent_results(now).total() == 0);
    REQUIRE(load.suspect(now));
    CHECK(load.suspicion_end() - now == first * 2);
    now = load.suspicion_end() + 60s;
    REQUIRE(load.suspect(now));
    CHECK(load.suspicion_end() - now == first);
}

TEST_CASE("sliding counts: cover the window and at most one slice more") {
    struct count {
        int value = 0;
        count& operator+=(const count& other) {
            this->value += other.value;
            return *this;
        }
    };
    admission::sliding_counts<count, 6> counts(3s);
    helpers::time_point now{1000s};
    for (int i = 0; i < 200; ++i, now += 100ms) {
        ++counts.current(now).value;
        const auto sum = counts.sum(now).value;
        CHECK(sum <= 35);
        if (i >= 35)
            CHECK(sum >= 30);
    }
    CHECK(counts.sum(now + 10s).value == 0);
}
