// Single failures and pairs of failures in a small fleet whose routers have different views. Each
// test checks the invariants: one outcome per request, the bound on load, no new requests to a
// drained data centre, and no rejections for organisations that don't surge.
#include "bench/placement/replay/strategy_variants.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;
using replay::traced_action;
using replay::traced_event;

namespace {

replay::trace small_fleet() {
    replay::trace made;
    made.name = "small";
    made.seed = 5;
    made.seconds = 240;
    made.data_centres = 3;
    made.view_lag_seconds = 4;
    made.return_seconds = 60;
    made.services.push_back({"models", 9, 16, 2, 200'000});
    made.traffic.push_back({"models", 6, 8, 10, 8000, 400, 200, 0.7, 0, 0});
    return made;
}

traced_event target_event(double at, traced_action action, std::uint32_t target) {
    return {at, action, "models", target};
}

traced_event centre_event(double at, traced_action action) {
    return {at, action, {}, 1};
}

replay::figure_table check_always(const replay::trace& replayed_trace) {
    auto figures = replay::replay_one(
        replayed_trace, {replay::production_strategy, replay::production_strategy, true},
        replay::generate(replayed_trace, true));
    CHECK(figures.at("answered") + figures.at("refused") + figures.at("outcome_unknown") ==
          figures.at("requests"));
    CHECK(figures.at("outcome_unknown") == 0);
    CHECK(figures.at("quiet_refused") == 0);
    CHECK(figures.at("highest_load_less_one_request") <= replayed_trace.load_multiple);
    CHECK(figures.at("new_work_to_left_after_4s") == 0);
    return figures;
}

} // namespace

TEST_CASE("invariants hold while engines restart repeatedly and the routers' views differ") {
    auto fleet = small_fleet();
    for (std::uint32_t i = 0; i < 8; ++i) {
        const auto target = i % 3;
        fleet.events.push_back(target_event(20 + 12.0 * i, traced_action::lose_target, target));
        fleet.events.push_back(target_event(23 + 12.0 * i, traced_action::restart_target, target));
    }
    CHECK(check_always(fleet).at("retries") > 0);
}

TEST_CASE("invariants hold when a warm target becomes cold during one organisation's surge") {
    auto fleet = small_fleet();
    fleet.events.push_back({60, traced_action::surge, {}, 0, 10, 60});
    fleet.events.push_back(target_event(70, traced_action::make_cold, 4));
    check_always(fleet);
}

TEST_CASE("no request is rejected when a data centre drains again while its weight still rises") {
    auto fleet = small_fleet();
    for (const double start : {40.0, 90.0}) {
        fleet.events.push_back(centre_event(start, traced_action::drain_centre));
        fleet.events.push_back(centre_event(start + 25, traced_action::return_centre));
    }
    CHECK(check_always(fleet).at("refused") == 0);
}

TEST_CASE(
    "no request is rejected when load reports stop, an engine is lost and a data centre drains") {
    auto fleet = small_fleet();
    fleet.events.push_back({30, traced_action::stop_reports, {}, 0});
    fleet.events.push_back(target_event(60, traced_action::lose_target, 2));
    fleet.events.push_back(centre_event(61, traced_action::drain_centre));
    CHECK(check_always(fleet).at("refused") == 0);
}

TEST_CASE("invariants hold when a data centre drains and an engine restarts during a surge") {
    auto fleet = small_fleet();
    fleet.events.push_back({60, traced_action::surge, {}, 0, 10, 30});
    fleet.events.push_back(centre_event(65, traced_action::drain_centre));
    fleet.events.push_back(target_event(70, traced_action::lose_target, 0));
    fleet.events.push_back(target_event(75, traced_action::restart_target, 0));
    fleet.events.push_back(centre_event(100, traced_action::return_centre));
    check_always(fleet);
}
