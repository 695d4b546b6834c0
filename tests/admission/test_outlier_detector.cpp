// Tests of the ejection of failing targets.
#include "admission/outlier_detector.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;
using namespace std::chrono_literals;

namespace {

struct outlier_test {
    admission::outlier_detector detector;
    helpers::time_point now{1h};

    explicit outlier_test(std::uint64_t targets) {
        std::vector<helpers::target_id> listed;
        for (std::uint64_t i = 1; i <= targets; ++i)
            listed.push_back({i});
        this->detector.set_targets(listed);
    }

    bool fail(std::uint64_t target, int times = 5) {
        bool ejected = false;
        for (int i = 0; i < times; ++i)
            ejected = this->detector.record({target}, true, this->now) || ejected;
        return ejected;
    }
};

} // namespace

TEST_CASE("consecutive failures eject a target, each time for longer") {
    outlier_test test(10);
    CHECK_FALSE(test.fail(1, 4));
    CHECK_FALSE(test.detector.record({1}, false, test.now));
    CHECK_FALSE(test.fail(1, 4));
    CHECK(test.fail(1, 1));
    CHECK(test.detector.ejected().contains({1}));
    CHECK(test.detector.next_change() == test.now + 10s);
    CHECK_FALSE(test.detector.advance(test.now + 9s));
    test.now += 10s;
    CHECK(test.detector.advance(test.now));
    CHECK(test.detector.ejected().empty());
    CHECK(test.fail(1));
    CHECK(test.detector.next_change() == test.now + 20s);
    test.now += 20s + 5min;
    CHECK(test.detector.advance(test.now));
    CHECK(test.fail(1));
    CHECK(test.detector.next_change() == test.now + 10s);
}

TEST_CASE("a target that fails half of its requests is ejected without consecutive failures") {
    outlier_test test(10);
    bool ejected = false;
    for (int i = 0; i < 20; ++i)
        ejected = test.detector.record({2}, i % 2 == 1, test.now) || ejected;
    CHECK(ejected);
}

TEST_CASE("a common cause cannot eject more than the cap") {
    outlier_test test(10);
    for (std::uint64_t target = 1; target <= 10; ++target)
        test.fail(target, 50);
    CHECK(test.detector.ejected().size() == 2);
    outlier_test pair(2);
    CHECK(pair.fail(1));
    CHECK_FALSE(pair.fail(2));
    outlier_test single(1);
    CHECK_FALSE(single.fail(1));
}

TEST_CASE("an ejected target that is no longer listed does not count towards the cap") {
    outlier_test test(5);
    CHECK(test.fail(1));
    CHECK_FALSE(test.fail(2));
    const std::vector<helpers::target_id> listed{{2}, {3}, {4}, {5}};
    test.detector.set_targets(listed);
    CHECK(test.detector.ejected().empty());
    CHECK(test.fail(2));
    CHECK_FALSE(test.detector.record({1}, true, test.now));
}
