// Tests of source_gate: probes while the source is unreachable, and the calls that wait for them.
#include "discovery/source_gate.hpp"

#include <doctest/doctest.h>

#include <utility>
#include <vector>

using namespace samphirespool;
using namespace std::chrono_literals;
using discovery::source_gate;

namespace {

struct gate_fixture {
    gate_fixture() : gate(loop, random) {}

    source_gate::turn_id request() {
        return this->gate.request([this](const auto& turn) { this->started.push_back(turn); });
    }
    void fail_all() {
        for (const auto& each : std::exchange(this->started, {}))
            this->gate.finish(each.id, false);
    }

    kernel::manual_loop loop;
    kernel::random_source random{7};
    source_gate gate;
    std::vector<source_gate::turn> started;
};

} // namespace

TEST_CASE("source gate: calls start at once while the source responds") {
    gate_fixture fixture;
    for (int i = 0; i < 3; ++i)
        fixture.request();
    REQUIRE(fixture.started.size() == 3);
    for (const auto& each : fixture.started)
        CHECK_FALSE(each.is_probe);
}

TEST_CASE("source gate: one call at a time probes an unreachable source, and the others wait") {
    gate_fixture fixture;
    for (int i = 0; i < 4; ++i)
        fixture.request();
    fixture.fail_all();
    CHECK_FALSE(fixture.gate.is_source_reachable());
    for (int i = 0; i < 4; ++i)
        fixture.request();
    std::size_t probes = 0;
    for (int step = 0; step < 800; ++step) {
        fixture.loop.advance(10ms);
        CHECK(fixture.started.size() <= 1);
        probes += fixture.started.size();
        const bool has_failed = !fixture.started.empty();
        fixture.fail_all();
        if (has_failed)
            fixture.request();
    }
    // Between 0.4 and 0.8 s apart after the first few.
    CHECK(probes >= 10);
    CHECK(probes <= 24);
    while (fixture.started.empty())
        fixture.loop.advance(10ms);
    CHECK(fixture.started.front().is_probe);
    fixture.gate.finish(fixture.started.front().id, true);
    CHECK(fixture.started.size() == 4);
    CHECK_FALSE(fixture.started.back().is_probe);
}

TEST_CASE("source gate: calls that fail together count as one failure") {
    gate_fixture fixture;
    for (int i = 0; i < 4; ++i)
        fixture.request();
    fixture.fail_all();
    fixture.request();
    // The first backoff, not the fourth.
    fixture.loop.advance(100ms);
    CHECK(fixture.started.size() == 1);
}

TEST_CASE(
    "source gate: after a pause the first call is a probe, so that one call finds a failure") {
    gate_fixture fixture;
    fixture.loop.advance(3s);
    for (int i = 0; i < 4; ++i)
        fixture.request();
    REQUIRE(fixture.started.size() == 1);
    CHECK(fixture.started.front().is_probe);
    fixture.gate.finish(fixture.started.front().id, true);
    CHECK(fixture.started.size() == 4);
}

TEST_CASE("source gate: a withdrawn probe passes its turn on") {
    gate_fixture fixture;
    fixture.loop.advance(3s);
    const auto first = fixture.request();
    const auto second = fixture.request();
    REQUIRE(fixture.started.size() == 1);
    fixture.gate.withdraw(first);
    REQUIRE(fixture.started.size() == 2);
    CHECK(fixture.started.back().id == second);
    CHECK(fixture.started.back().is_probe);
    fixture.gate.withdraw(second);
    fixture.request();
    CHECK(fixture.started.size() == 3);
}

TEST_CASE("source gate: followers of a hub probe at the pace that is set for them") {
    gate_fixture fixture;
    fixture.gate.set_backoff({2s, 4s});
    fixture.request();
    fixture.fail_all();
    fixture.request();
    fixture.loop.advance(900ms);
    CHECK(fixture.started.empty());
    fixture.loop.advance(1100ms);
    CHECK(fixture.started.size() == 1);
}
