// Tests of the deletion of unnamed objects: a racing writer's objects stay while it can still name
// them.
#include "store/orphan_tracker.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

using namespace samphirespool;
using namespace std::chrono_literals;

TEST_CASE("orphan tracker: an object goes only after the root was updated and the grace passed") {
    store::orphan_tracker tracker(10min);
    const std::vector<store::object> listed{{"named", 1, ""}, {"orphan", 2, ""}};
    const auto is_named = [](std::string_view key) { return key == "named"; };
    const helpers::time_point start{};
    CHECK(tracker.observe(listed, is_named, 5, start).empty());
    // The root is the one that a racing writer may still update.
    CHECK(tracker.observe(listed, is_named, 5, start + 1h).empty());
    const auto deletable = tracker.observe(listed, is_named, 6, start + 2h);
    REQUIRE(deletable.size() == 1);
    CHECK(deletable[0].key == "orphan");
    CHECK(deletable[0].version == 2);
}

TEST_CASE("orphan tracker: an object that was named meanwhile starts again") {
    store::orphan_tracker tracker(10min);
    const std::vector<store::object> listed{{"chunk", 1, ""}};
    const auto no = [](std::string_view) { return false; };
    const auto yes = [](std::string_view) { return true; };
    const helpers::time_point start{};
    CHECK(tracker.observe(listed, no, 5, start).empty());
    CHECK(tracker.observe(listed, yes, 6, start + 20min).empty());
    CHECK(tracker.observe(listed, no, 7, start + 40min).empty());
    CHECK(tracker.observe(listed, no, 8, start + 45min).empty());
    CHECK(tracker.observe(listed, no, 9, start + 51min).size() == 1);
}
