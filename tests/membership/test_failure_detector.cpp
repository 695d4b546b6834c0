// Tests of membership under crashes, pauses, loss, partitions and restarts.
#include "tests/membership/fake_fleet.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;
using namespace std::chrono_literals;
using membership::member_health;
using tests::fake_fleet;

TEST_CASE("all routers discover each other through one seed") {
    fake_fleet fleet(24);
    fleet.run(30s);
    CHECK(fleet.all_agree());
}

TEST_CASE("a crashed router is suspected before it is dead, everywhere") {
    fake_fleet fleet(12);
    fleet.run(30s);
    std::vector<member_health> seen;
    const auto id = fake_fleet::make_record(5, 1).id;
    fleet.at(0).table.on_change([&](auto changed, const auto* now) {
        if (changed == id)
            seen.push_back(now->record.health);
    });
    fleet.stop(5);
    fleet.run(8s);
    CHECK(seen == std::vector{member_health::suspect, member_health::dead});
    CHECK(fleet.all_agree());
}

TEST_CASE("no live router is declared dead while one message in ten is lost") {
    fake_fleet fleet(16, 7);
    fleet.run(30s);
    fleet.loss = 0.1;
    int deaths = 0;
    for (auto& [index, running] : fleet.nodes) {
        running->table.on_change([&](auto, const auto* now) {
            deaths += now != nullptr && now->record.health == member_health::dead ? 1 : 0;
        });
    }
    fleet.run(3min);
    CHECK(deaths == 0);
}

TEST_CASE("a router paused for longer than every timeout suspects no member and is alive again") {
    fake_fleet fleet(10);
    fleet.run(30s);
    fleet.paused.insert(3);
    fleet.run(60s);
    CHECK(fleet.health(0, 3) == member_health::dead);
    int suspected = 0;
    fleet.at(3).table.on_change([&](auto, const auto* now) {
        suspected += now != nullptr && now->record.health != member_health::alive ? 1 : 0;
    });
    fleet.paused.clear();
    fleet.run(20s);
    CHECK(fleet.all_agree());
    CHECK(suspected == 0);
}

TEST_CASE("two sides of a partition become one fleet again after an hour") {
    fake_fleet fleet(14);
    fleet.run(30s);
    fleet.connected = [](auto a, auto b) { return (a < 4) == (b < 4); };
    fleet.run(1h);
    CHECK(fleet.at(0).table.live_count() == 4);
    CHECK(fleet.at(9).table.live_count() == 10);
    fleet.connected = [](auto, auto) { return true; };
    fleet.run(60s);
    CHECK(fleet.all_agree());
}

TEST_CASE("a later incarnation supersedes the earlier one, which detects it") {
    fake_fleet fleet(8);
    fleet.run(30s);
    fleet.stop(2);
    fleet.start(2, 2);
    fleet.run(20s);
    CHECK(fleet.all_agree());
    const auto* known = fleet.at(6).table.find(fake_fleet::make_record(2, 1).id);
    CHECK(known->record.incarnation.value == 2);
    fleet.at(6).table.merge(fake_fleet::make_record(6, 9));
    CHECK(fleet.at(6).table.superseded());
}

TEST_CASE("all routers restart at once") {
    fake_fleet fleet(12);
    fleet.run(30s);
    for (std::size_t i = 0; i < 12; ++i) {
        fleet.stop(i);
        fleet.start(i, 2);
    }
    fleet.run(30s);
    CHECK(fleet.all_agree());
}

TEST_CASE("a router that leaves is no longer live at once, without suspicion") {
    fake_fleet fleet(12);
    fleet.run(30s);
    int suspected = 0;
    fleet.at(1).table.on_change([&](auto, const auto* now) {
        suspected += now != nullptr && now->record.health == member_health::suspect ? 1 : 0;
    });
    fleet.at(4).detector.leave();
    fleet.run(50ms);
    fleet.stop(4);
    fleet.run(3s);
    CHECK(fleet.all_agree());
    CHECK(suspected == 0);
}

TEST_CASE("a refused connection or a missing VM marks a process as stopped") {
    fake_fleet fleet(4);
    fleet.run(20s);
    fleet.stop(3);
    fleet.run(10s);
    auto& detector = fleet.at(0).detector;
    detector.apply_vm_list({{"router-3"}});
    CHECK(fleet.health(0, 3) == member_health::dead);
    detector.apply_vm_list({});
    CHECK(fleet.health(0, 3) == member_health::stopped);
    fleet.stop(2);
    detector.on_connection_refused(fake_fleet::address(2));
    CHECK(fleet.health(0, 2) == member_health::stopped);
    // A live router refutes a wrong record of itself.
    detector.on_connection_refused(fake_fleet::address(1));
    fleet.run(20s);
    CHECK(fleet.health(0, 1) == member_health::alive);
    CHECK(fleet.all_agree());
}

TEST_CASE("messages per router and updates per message do not grow with the fleet") {
    const auto per_router = [](std::size_t size) {
        fake_fleet fleet(size);
        fleet.run(60s);
        for (auto& [index, running] : fleet.nodes) {
            running->sent = 0;
            running->max_updates = 0;
        }
        fleet.run(60s);
        std::size_t sent = 0;
        std::size_t max_updates = 0;
        for (auto& [index, running] : fleet.nodes) {
            sent += running->sent;
            max_updates = std::max(max_updates, running->max_updates);
        }
        CHECK(max_updates <= 8);
        return static_cast<double>(sent) / static_cast<double>(size);
    };
    const auto small = per_router(8);
    const auto large = per_router(64);
    // Two messages, a ping and an ack, in each half second: 240 per minute.
    CHECK(small <= 260);
    CHECK(large <= 260);
}
