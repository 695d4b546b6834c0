// Tests of a fleet whose gateways are all restarted at once while callers hold streams.
#include "tests/gateway/stream_fleet.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;
using namespace std::chrono_literals;
using discovery::collection;
using tests::archive_time;
using tests::restarted_fleet;
using tests::start_time;
using tests::stream_count;

namespace {

struct shape {
    int gateways;
    int data_centres;
};

} // namespace

// Guards against the loss of all streams' versions with the gateways' memory.
TEST_CASE("fleet restart: streams of two versions go on at the version that began them") {
    for (const auto& each : {shape{9, 1}, shape{24, 3}}) {
        CAPTURE(each.gateways);
        restarted_fleet fleet(each.gateways, each.data_centres);
        fleet.add_targets("v1", 0, 4);
        fleet.add_targets("v2", 4, 4);
        fleet.start();
        fleet.run_for(start_time);
        const auto streams = fleet.begin_streams(stream_count);
        fleet.run_for(archive_time);
        fleet.restart();
        const auto result = fleet.resume(streams, true);
        CHECK(result.mixed == 0);
        CHECK(result.continued == stream_count);
    }
}

// Guards against a gateway that has just started and takes the only version that it sees for the
// one that began a stream whose caller names no attempt.
TEST_CASE("fleet restart: after the old version has left, no stream goes on at the new one") {
    for (const auto& each : {shape{9, 1}, shape{24, 3}}) {
        CAPTURE(each.gateways);
        restarted_fleet fleet(each.gateways, each.data_centres);
        fleet.add_targets("v1", 0, 4);
        fleet.start();
        fleet.run_for(start_time);
        const auto streams = fleet.begin_streams(stream_count);
        fleet.add_targets("v2", 4, 4);
        fleet.run_for(2s);
        fleet.remove_targets(0, 4);
        fleet.run_for(1s);
        fleet.restart();
        for (const bool names_attempt : {false, true}) {
            CAPTURE(names_attempt);
            const auto result = fleet.resume(streams, names_attempt);
            CHECK(result.mixed == 0);
            CHECK(result.refused == stream_count);
        }
    }
}

// Guards against refusing streams although no other version can have begun them.
TEST_CASE("fleet restart: streams go on if only one version has ever served") {
    for (const auto& each : {shape{9, 1}, shape{24, 3}}) {
        CAPTURE(each.gateways);
        restarted_fleet fleet(each.gateways, each.data_centres);
        fleet.add_targets("v1", 0, 6);
        fleet.start();
        fleet.run_for(start_time);
        const auto streams = fleet.begin_streams(stream_count);
        fleet.run_for(archive_time);
        fleet.restart();
        for (const bool names_attempt : {false, true}) {
            CAPTURE(names_attempt);
            const auto result = fleet.resume(streams, names_attempt);
            CHECK(result.mixed == 0);
            CHECK(result.continued == stream_count);
        }
    }
}

// Guards against a release that no gateway has seen, since it took place while none was running.
TEST_CASE("fleet restart: no stream goes on at a version that replaced its own meanwhile") {
    restarted_fleet fleet(9);
    fleet.add_targets("v1", 0, 4);
    fleet.start();
    fleet.run_for(start_time);
    const auto streams = fleet.begin_streams(stream_count);
    fleet.run_for(archive_time);
    fleet.kill();
    fleet.remove_targets(0, 4);
    fleet.add_targets("v2", 4, 4);
    fleet.run_for(500ms);
    fleet.start();
    fleet.run_for(start_time);
    for (const bool names_attempt : {false, true}) {
        CAPTURE(names_attempt);
        const auto result = fleet.resume(streams, names_attempt);
        CHECK(result.mixed == 0);
        CHECK(result.refused == stream_count);
    }
}

// Guards against records that are lost with an answer of the store, or by its outage.
TEST_CASE("fleet restart: streams go on although the store was disturbed before") {
    restarted_fleet fleet(9);
    fleet.add_targets("v1", 0, 4);
    fleet.add_targets("v2", 4, 4);
    fleet.start();
    fleet.run_for(start_time);
    auto streams = fleet.begin_streams(8);
    fleet.store.set_loses_answers(true);
    auto more = fleet.begin_streams(8);
    streams.insert(streams.end(), more.begin(), more.end());
    fleet.run_for(1s);
    fleet.store.set_loses_answers(false);
    fleet.store.go_away();
    more = fleet.begin_streams(8);
    streams.insert(streams.end(), more.begin(), more.end());
    fleet.run_for(1s);
    fleet.store.come_back();
    fleet.run_for(5s);
    fleet.restart();
    const auto result = fleet.resume(streams, true);
    CHECK(result.mixed == 0);
    CHECK(result.continued == streams.size());
}

// Guards against records that a store which comes back from an older copy no longer has.
TEST_CASE("fleet restart: live records and the versions are written again to a restored store") {
    restarted_fleet fleet(9);
    fleet.add_targets("v1", 0, 4);
    fleet.start();
    fleet.run_for(start_time);
    const auto older = fleet.store.copy();
    fleet.add_targets("v2", 4, 4);
    fleet.run_for(1s);
    const auto streams = fleet.begin_streams(stream_count);
    fleet.run_for(2s);
    fleet.store.go_away();
    fleet.run_for(100ms);
    fleet.store.return_from(older);
    fleet.add_targets("v2", 4, 4);
    fleet.run_for(6s);
    fleet.restart();
    const auto result = fleet.resume(streams, true);
    CHECK(result.mixed == 0);
    CHECK(result.continued == stream_count);
}

// Guards against records of a data centre that is cut off from the others and has two hubs.
TEST_CASE("fleet restart: records of both hubs of a partitioned group are kept") {
    restarted_fleet fleet(9);
    fleet.add_targets("v1", 0, 4);
    fleet.add_targets("v2", 4, 4);
    fleet.start();
    fleet.run_for(start_time);
    const auto side = [&fleet](const helpers::endpoint& address) {
        for (std::size_t i = 0; i < fleet.list.size(); ++i)
            if (fleet.list[i].address == address)
                return i % 2;
        return std::size_t{0};
    };
    fleet.network.is_cut = [&side](const auto& a, const auto& b) { return side(a) != side(b); };
    fleet.run_for(5s);
    const auto streams = fleet.begin_streams(stream_count);
    fleet.run_for(5s);
    fleet.network.is_cut = nullptr;
    fleet.restart();
    const auto result = fleet.resume(streams, true);
    CHECK(result.mixed == 0);
    CHECK(result.continued == stream_count);
}

// Guards against refusals that would be lifted by waiting for the store, and against answers that
// were not read from it.
TEST_CASE("fleet restart: nothing is answered before the store was read") {
    restarted_fleet fleet(9);
    fleet.add_targets("v1", 0, 4);
    fleet.add_targets("v2", 4, 4);
    fleet.start();
    fleet.run_for(start_time);
    const auto streams = fleet.begin_streams(stream_count);
    fleet.run_for(archive_time);
    fleet.remove_targets(0, 4);
    fleet.run_for(1s);
    fleet.kill();
    fleet.start();
    // The feeds are read, then the store is gone.
    fleet.run_for(30ms);
    fleet.store.go_away();
    fleet.run_for(start_time);
    CHECK(fleet.resume(streams, false).mixed == 0);
    CHECK(fleet.resume(streams, true).mixed == 0);
    fleet.store.come_back();
    fleet.run_for(start_time);
    const auto result = fleet.resume(streams, true);
    CHECK(result.mixed == 0);
    const auto at_new = std::count_if(streams.begin(), streams.end(),
                                      [](const auto& each) { return each.software == "v2"; });
    CHECK(result.continued == static_cast<std::size_t>(at_new));
}

// Guards against store calls of deployments whose targets name no versions, against records while
// one version serves, and against more writes than stated in the design note.
TEST_CASE("fleet restart: calls to the store are as few as stated") {
    for (const auto& each : {shape{9, 1}, shape{64, 4}}) {
        CAPTURE(each.gateways);
        restarted_fleet fleet(each.gateways, each.data_centres);
        const auto writes = [&fleet] {
            std::uint64_t sum = 0;
            for (const auto& gateway : fleet.gateways)
                sum += gateway->archive.totals().writes;
            return sum;
        };
        const auto lists = [&fleet] {
            std::uint64_t sum = 0;
            for (const auto& gateway : fleet.gateways)
                sum += gateway->archive.totals().lists;
            return sum;
        };
        fleet.add_targets("", 0, 4);
        fleet.start();
        fleet.run_for(start_time);
        fleet.begin_streams(stream_count);
        fleet.run_for(1s);
        CHECK(fleet.store.names(collection::stream_origins).empty());
        CHECK(lists() == 0);
        fleet.add_targets("v1", 0, 4);
        fleet.run_for(25s);
        // The former, unnamed version counts until then.
        const auto before = writes();
        fleet.begin_streams(stream_count);
        fleet.run_for(1s);
        CHECK(writes() == before);
        CHECK(lists() <= static_cast<std::uint64_t>(each.data_centres) + 2);
        fleet.add_targets("v2", 4, 4);
        fleet.run_for(1s);
        const auto mixed = writes();
        fleet.begin_streams(100);
        fleet.run_for(1s);
        // Two seconds of one write in 60 ms for each group.
        CHECK(writes() - mixed <= static_cast<std::uint64_t>(each.data_centres) * 34);
    }
}

// Guards against a hub that was suspended and has not read yet which versions serve now.
TEST_CASE("fleet restart: a hub that was paused does not name the only version") {
    restarted_fleet fleet(2);
    fleet.add_targets("v1", 0, 2);
    fleet.start();
    fleet.run_for(start_time);
    auto& hub = fleet.gateways[0]->archive;
    const auto service = helpers::hash_name("desk");
    const auto answer_to = [&](std::uint64_t attempt) {
        return hub.origin_of(attempt, service, fleet.loop.time().now());
    };
    // Not before the store has said which targets there are, after each question.
    CHECK_FALSE(answer_to(1));
    fleet.run_for(100ms);
    CHECK(answer_to(1) == discovery::software_hash("v1"));
    CHECK_FALSE(answer_to(2));
    fleet.run_for(5s);
    CHECK_FALSE(answer_to(3));
}
