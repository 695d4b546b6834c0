// Tests of the deletion of unreferenced objects: the objects of a racing writer are kept while the
// writer can still add references to them.
#include "store/orphan_tracker.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

using namespace samphirespool;
using namespace std::chrono_literals;

TEST_CASE("orphan tracker: deletion needs an update of the root and the end of the grace period") {
    store::orphan_tracker tracker(10min);
    const std::vector<store::object> listed{{"named", 1, ""}, {"orphan", 2, ""}};
    const auto is_referenced = [](std::string_view key) { return key == "named"; };
    const helpers::time_point start{};
    CHECK(tracker.observe(listed, is_referenced, 5, start).empty());
    // A racing writer may still update this version of the root.
    CHECK(tracker.observe(listed, is_referenced, 5, start + 1h).empty());
    const auto deletable = tracker.observe(listed, is_referenced, 6, start + 2h);
    REQUIRE(deletable.size() == 1);
    CHECK(deletable[0].key == "orphan");
    CHECK(deletable[0].version == 2);
}

TEST_CASE("orphan tracker: the grace period restarts after the object was referenced") {
    store::orphan_tracker tracker(10min);
    const std::vector<store::object> listed{{"chunk", 1, ""}};
    const auto is_never_referenced = [](std::string_view) { return false; };
    const auto is_always_referenced = [](std::string_view) { return true; };
    const helpers::time_point start{};
    CHECK(tracker.observe(listed, is_never_referenced, 5, start).empty());
    CHECK(tracker.observe(listed, is_always_referenced, 6, start + 20min).empty());
    CHECK(tracker.observe(listed, is_never_referenced, 7, start + 40min).empty());
    CHECK(tracker.observe(listed, is_never_referenced, 8, start + 45min).empty());
    CHECK(tracker.observe(listed, is_never_referenced, 9, start + 51min).size() == 1);
}
