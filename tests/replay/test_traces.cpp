// Replays the two small traces and holds the outcomes that must always hold. The figures that the
// traces state as targets are measured by bench-placement, which prints what misses.
#include "bench/placement/replay/contestants.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;

namespace {

replay::trace read(const std::string& name) {
    std::string fault;
    // Tests run from the root of the repository.
    auto found = replay::read_trace("traces/" + name + ".trace", fault);
    REQUIRE_MESSAGE(found, fault);
    return *found;
}

replay::figure_table run(const replay::trace& from, const std::string& strategy, bool bounded) {
    return replay::replay_one(from, {strategy, strategy, bounded}, replay::generate(from, true));
}

void check_always(const replay::figure_table& figures, double multiple) {
    // Every request got exactly one outcome.
    CHECK(figures.at("answered") + figures.at("refused") + figures.at("outcome_unknown") ==
          figures.at("requests"));
    CHECK(figures.at("outcome_unknown") == 0);
    CHECK(figures.at("quiet_refused") == 0);
    CHECK(figures.at("highest_load_less_one_request") <= multiple);
    CHECK(figures.at("new_work_to_left_after_4s") == 0);
}

} // namespace

TEST_CASE("the contract-review trace keeps its bound, its quiet organisations and its cache") {
    const auto kandy = read("kandy");
    const auto own = run(kandy, replay::product, true);
    check_always(own, kandy.load_multiple);
    const auto least_loaded = run(kandy, "least-loaded", false);
    CHECK(own.at("reuse") > least_loaded.at("reuse"));
    CHECK(own.at("reuse") >= 0.95 * run(kandy, replay::oracle, true).at("reuse"));
}

TEST_CASE("the trace with a leaving and returning data centre sends it nothing new") {
    const auto hanbit = read("hanbit");
    check_always(run(hanbit, replay::product, true), hanbit.load_multiple);
}

TEST_CASE("a trace replays the same each time and a malformed one names its line") {
    const auto kandy = read("kandy");
    CHECK(run(kandy, replay::product, true) == run(kandy, replay::product, true));
    std::string fault;
    CHECK_FALSE(replay::read_trace("/nonexistent", fault));
    CHECK(fault == "cannot open /nonexistent");
}
