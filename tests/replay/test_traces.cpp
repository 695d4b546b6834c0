// Replays the two small traces and checks their invariants. The expectations stated in the traces
// are checked by bench-placement, which prints the missed ones.
#include "bench/placement/replay/strategy_variants.hpp"

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

replay::figure_table run(const replay::trace& replayed_trace, const std::string& strategy,
                         bool bounded) {
    return replay::replay_one(replayed_trace, {strategy, strategy, bounded},
                              replay::generate(replayed_trace, true));
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

TEST_CASE("the kandy trace keeps the load bound, rejects no quiet organisation and reuses caches") {
    const auto kandy = read("kandy");
    const auto own = run(kandy, replay::production_strategy, true);
    check_always(own, kandy.load_multiple);
    const auto least_loaded = run(kandy, "least-loaded", false);
    CHECK(own.at("reuse") > least_loaded.at("reuse"));
    CHECK(own.at("reuse") >= 0.95 * run(kandy, replay::oracle_name, true).at("reuse"));
}

TEST_CASE("the hanbit trace sends no new requests to a drained data centre") {
    const auto hanbit = read("hanbit");
    check_always(run(hanbit, replay::production_strategy, true), hanbit.load_multiple);
}

TEST_CASE("a replay is deterministic and an unreadable trace file is named in the error") {
    const auto kandy = read("kandy");
    CHECK(run(kandy, replay::production_strategy, true) ==
          run(kandy, replay::production_strategy, true));
    std::string fault;
    CHECK_FALSE(replay::read_trace("/nonexistent", fault));
    CHECK(fault == "cannot open /nonexistent");
}
