// Tests of the load bound, the slow start of cold targets and the use of reports.
#include "admission/target_ledger.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;
using namespace std::chrono_literals;
using result = admission::release::result;

namespace {

constexpr helpers::target_id a{1};
constexpr helpers::target_id b{2};
constexpr helpers::target_id c{3};
constexpr std::uint64_t cost = 1000;
constexpr std::uint32_t warm_capacity = 16;

struct ledger_test {
    admission::target_ledger ledger{1.25};
    std::vector<admission::ledger_target> targets;
    helpers::time_point now{1h};

    explicit ledger_test(std::size_t count = 3, bool warm = true) {
        for (std::size_t i = 1; i <= count; ++i)
            this->targets.push_back({helpers::target_id{i}, 1, warm_capacity, 2, true});
        this->apply();
        for (const auto& target : this->targets)
            if (warm)
                this->ledger.restore_allowance(target.id, 1, warm_capacity, this->now);
    }

    void apply() { this->ledger.set_targets(this->targets, this->now); }

    bool reserve(helpers::target_id target, std::uint64_t tokens = cost) {
        return this->ledger.try_reserve({&target, 1}, tokens, this->now).has_value();
    }

    void finish(helpers::target_id target, result how = result::success,
                helpers::duration first_byte = 100ms) {
        this->ledger.finish(target, cost, how, first_byte, this->now);
    }

    void succeed(helpers::target_id target, std::uint32_t times,
                 helpers::duration first_byte = 100ms) {
        for (std::uint32_t i = 0; i < times; ++i) {
            this->ledger.add_existing(target, cost, this->now);
            this->finish(target, result::success, first_byte);
        }
    }
};

} // namespace

TEST_CASE("the first candidate below the bound gets the request") {
    ledger_test test;
    const std::array candidates{a, b, c};
    const auto reserve = [&] { return test.ledger.try_reserve(candidates, cost, test.now); };
    // The bound including the new request is 1.25 x 1/3, 2/3, 3/3 ... requests: `a` accepts
    // while idle, rejects with one request of two, and accepts again with one of three.
    for (const auto expected : {a, b, a, b, a, b, c, a})
        CHECK(reserve() == expected);
    CHECK(test.ledger.mean_load() == doctest::Approx(8.0 / 3 * cost));
    test.finish(b);
    CHECK(test.ledger.in_flight(b) == 2);
    CHECK(test.ledger.outstanding_tokens(b) == 2 * cost);
}

TEST_CASE("an idle target takes a request of any size and the bound alone never stalls") {
    ledger_test test;
    CHECK(test.reserve(a, 100 * cost));
    CHECK_FALSE(test.reserve(a));
    CHECK(test.reserve(b));
    CHECK(test.reserve(c));
    const std::array candidates{a, b, c};
    for (int i = 0; i < 28; ++i)
        CHECK(test.ledger.try_reserve(candidates, cost, test.now).has_value());
}

TEST_CASE("a target that is not eligible, removed or out of slots accepts nothing") {
    ledger_test test;
    CHECK(test.reserve(a));
    test.targets[0].eligible = false;
    test.apply();
    CHECK(test.ledger.capacity(a, test.now) == 0);
    CHECK_FALSE(test.reserve(a));
    CHECK(test.ledger.in_flight(a) == 1);
    test.targets.erase(test.targets.begin());
    test.apply();
    CHECK(test.ledger.in_flight(a) == 1);
    CHECK_FALSE(test.reserve(a));
    test.finish(a);
    CHECK_FALSE(test.ledger.contains(a));
    test.ledger.set_slot_limit(b, 1);
    CHECK(test.reserve(b));
    CHECK(test.reserve(c));
    CHECK_FALSE(test.reserve(b));
}

TEST_CASE("existing work is registered beyond any bound and counts against it") {
    ledger_test test;
    for (int i = 0; i < 20; ++i)
        test.ledger.add_existing(a, cost, test.now);
    CHECK(test.ledger.in_flight(a) == 20);
    CHECK_FALSE(test.reserve(a));
    // Work on a target that is not listed yet is kept until the target is listed.
    test.ledger.add_existing(helpers::target_id{9}, cost, test.now);
    CHECK(test.ledger.in_flight(helpers::target_id{9}) == 1);
    test.targets.push_back({helpers::target_id{9}, 0, warm_capacity, 2, true});
    test.apply();
    CHECK(test.ledger.allowance(helpers::target_id{9}) == 2);
    CHECK(test.reserve(helpers::target_id{9}, 1));
}

TEST_CASE(
    "the allowance of a cold target doubles per window of successes and halves on a failure") {
    ledger_test test(1, false);
    CHECK_FALSE(test.ledger.warm(a));
    CHECK(test.reserve(a));
    CHECK(test.reserve(a));
    CHECK_FALSE(test.reserve(a));
    test.finish(a);
    test.finish(a);
    // A window of successes is not enough before the ramp interval has passed.
    test.succeed(a, 10);
    CHECK(test.ledger.allowance(a) == 2);
    test.now += 1s;
    test.succeed(a, 1);
    CHECK(test.ledger.allowance(a) == 4);
    test.now += 1s;
    test.succeed(a, 4);
    CHECK(test.ledger.allowance(a) == 8);
    test.ledger.add_existing(a, cost, test.now);
    test.finish(a, result::failure);
    CHECK(test.ledger.allowance(a) == 4);
    for (std::uint32_t window = 0; window < 2; ++window) {
        test.now += 1s;
        test.succeed(a, 8);
    }
    CHECK(test.ledger.warm(a));
    CHECK(test.ledger.capacity(a, test.now) == warm_capacity);
}

TEST_CASE("consecutive failures make a warm target cold; single ones and cancellations do not") {
    ledger_test test;
    const auto finish_one = [&](result how) {
        test.ledger.add_existing(a, cost, test.now);
        test.finish(a, how);
    };
    for (const auto how : {result::failure, result::failure, result::cancelled, result::not_sent,
                           result::success, result::failure, result::failure})
        finish_one(how);
    CHECK(test.ledger.warm(a));
    finish_one(result::failure);
    CHECK_FALSE(test.ledger.warm(a));
    CHECK(test.ledger.allowance(a) == 2);
}

TEST_CASE("a new incarnation makes a target cold; an older one is ignored") {
    ledger_test test;
    test.targets[0].incarnation = 3;
    test.apply();
    CHECK(test.ledger.allowance(a) == 2);
    test.ledger.restore_allowance(a, 1, warm_capacity, test.now);
    CHECK(test.ledger.allowance(a) == 2);
    test.ledger.restore_allowance(a, 3, warm_capacity, test.now);
    CHECK(test.ledger.warm(a));
    test.targets[0].incarnation = 1;
    test.apply();
    CHECK(test.ledger.warm(a));
    test.ledger.report(b, {2, 0, 0, 100ms}, test.now);
    CHECK_FALSE(test.ledger.warm(b));
    CHECK(test.ledger.warm(c));
}

TEST_CASE("slow first bytes of one target make it cold, those of all targets do not") {
    ledger_test test;
    const auto respond_on_all = [&](std::uint32_t times, helpers::duration first_byte) {
        for (std::uint32_t i = 0; i < times; ++i)
            for (const auto target : {a, b, c})
                test.succeed(target, 1, first_byte);
    };
    respond_on_all(40, 100ms);
    SUBCASE("one target") {
        test.succeed(a, 4, 900ms);
        CHECK(test.ledger.warm(a));
        test.succeed(a, 1, 900ms);
        CHECK_FALSE(test.ledger.warm(a));
        // Cold and slow: the allowance does not grow.
        test.now += 5s;
        test.succeed(a, 20, 900ms);
        CHECK(test.ledger.allowance(a) == 1);
    }
    SUBCASE("all targets") {
        respond_on_all(20, 900ms);
        for (const auto target : {a, b, c})
            CHECK(test.ledger.warm(target));
    }
}

TEST_CASE(
    "reports add load that the ledger does not track, never lower its own count, and expire") {
    ledger_test test;
    CHECK(test.reserve(a));
    test.ledger.report(a, {1, 0, 0, 100ms}, test.now);
    CHECK(test.ledger.in_flight(a) == 1);
    test.ledger.report(a, {1, 4, 4 * cost, 100ms}, test.now);
    CHECK(test.ledger.in_flight(a) == 4);
    CHECK(test.ledger.outstanding_tokens(a) == 4 * cost);
    // Own work that finished after the report was measured is not counted as untracked load.
    test.finish(a);
    test.ledger.report(a, {1, 1, cost, 2s}, test.now);
    CHECK(test.ledger.in_flight(a) == 0);
    test.ledger.report(a, {1, 5, 5 * cost, 6s}, test.now);
    CHECK(test.ledger.in_flight(a) == 0);
    test.now += 11s;
    test.ledger.report(a, {1, 5, 5 * cost, 1s}, test.now);
    CHECK(test.ledger.in_flight(a) == 5);
    test.now += 10s;
    CHECK(test.reserve(b));
    CHECK(test.ledger.in_flight(a) == 0);
}

TEST_CASE("the mean load includes the load of other owners' ledgers") {
    ledger_test test;
    test.ledger.set_peer_load({30 * cost, 3});
    CHECK(test.ledger.mean_load() == doctest::Approx(5 * cost));
    for (int i = 0; i < 7; ++i)
        CHECK(test.reserve(a));
    CHECK_FALSE(test.ledger.own_load().warm_targets == 0);
    CHECK(test.ledger.own_load().tokens == 7 * cost);
}

TEST_CASE("requests of an organisation with a backlog leave the last slots free") {
    ledger_test test(1);
    admission::reservation_hints backlog;
    backlog.from_backlog = true;
    std::uint32_t reserved = 0;
    while (test.ledger.try_reserve({&a, 1}, cost, test.now, backlog))
        ++reserved;
    CHECK(reserved == warm_capacity - warm_capacity / 8);
    CHECK(test.reserve(a));
    CHECK(test.reserve(a));
    CHECK_FALSE(test.reserve(a));
    // The allowance of a cold target is too small to reserve any of it.
    test.targets.push_back({b, 1, warm_capacity, 2, true});
    test.apply();
    CHECK(test.ledger.try_reserve({&b, 1}, cost, test.now, backlog));
    CHECK(test.ledger.try_reserve({&b, 1}, cost, test.now, backlog));
}
