// Tests of the roster: shares, changes in two versions, a single writer, outages and lost replies.
#include "membership/roster_manager.hpp"
#include "tests/membership/fake_fleet.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;
using namespace std::chrono_literals;
using membership::member_health;
using membership::roster_store_outcome;

namespace {

// One object with a version, as the store keeps the roster.
struct fake_store {
    std::uint64_t version = 0;
    std::string value;
    bool down = false;
    bool lose_replies = false;
    std::size_t calls = 0;

    void run(membership::roster_manager& manager, const membership::roster_store_call& call) {
        ++this->calls;
        if (this->down)
            return manager.on_store_reply(roster_store_outcome::failed, 0, {});
        if (!call.write)
            return manager.on_store_reply(this->version == 0 ? roster_store_outcome::not_found
                                                             : roster_store_outcome::ok,
                                          this->version, this->value);
        if (call.expected_version != this->version)
            return manager.on_store_reply(roster_store_outcome::conflict, this->version, {});
        ++this->version;
        this->value = call.value;
        if (this->lose_replies)
            return manager.on_store_reply(roster_store_outcome::failed, 0, {});
        manager.on_store_reply(roster_store_outcome::ok, this->version, {});
    }
};

struct region {
    explicit region(std::size_t size) {
        for (std::size_t i = 0; i < size; ++i)
            this->add(i);
    }

    struct router final : membership::message_outbox {
        router(region& owner, std::size_t index)
            : owner(owner),
              table(owner.loop.time(), tests::fake_fleet::make_record(index, 1)),
              manager(owner.loop.time(), this->table, *this) {}

        void send(const helpers::endpoint& to, const membership::message& content) override {
            const auto target = static_cast<std::size_t>(to.port - 7000);
            if (this->owner.paused.contains(target) || !this->owner.routers.contains(target))
                return;
            this->owner.routers.at(target)->manager.on_message(this->table.self().address, content);
        }

        region& owner;
        membership::member_table table;
        membership::roster_manager manager;
    };

    void add(std::size_t index) {
        this->routers[index] = std::make_unique<router>(*this, index);
        for (auto& [i, a] : this->routers) {
            for (auto& [j, b] : this->routers)
                a->table.merge(b->table.self());
        }
    }

    void set_health(std::size_t index, member_health health) {
        for (auto& [i, running] : this->routers)
            running->table.set_health(tests::fake_fleet::make_record(index, 1).id, health);
    }

    void run(helpers::duration time) {
        for (auto end = this->loop.time().now() + time; this->loop.time().now() < end;) {
            this->loop.advance(50ms);
            for (auto& [index, running] : this->routers) {
                if (this->paused.contains(index))
                    continue;
                running->manager.tick();
                if (const auto call = running->manager.next_call())
                    this->store.run(running->manager, *call);
            }
            this->check_shares();
        }
    }

    // Whichever versions the routers have, all shares together must not exceed the capacity.
    void check_shares() {
        for (const std::uint32_t capacity : {1U, 2U, 5U, 64U}) {
            std::map<helpers::router_id, std::uint32_t> max_updates;
            for (auto& [index, running] : this->routers) {
                const auto& known = running->manager.current();
                for (const auto& entry : known.members)
                    max_updates[entry.id] = std::max(
                        max_updates[entry.id], membership::usable_share(known, entry.id, capacity));
            }
            std::uint32_t sum = 0;
            for (const auto& [id, share] : max_updates)
                sum += share;
            REQUIRE(sum <= capacity);
        }
    }

    const membership::roster& seen_by(std::size_t index) {
        return this->routers.at(index)->manager.current();
    }

    kernel::manual_loop loop;
    fake_store store;
    std::map<std::size_t, std::unique_ptr<router>> routers;
    std::set<std::size_t> paused;
};

} // namespace

TEST_CASE("the shares of all members add up to the capacity") {
    for (std::uint64_t count = 1; count < 40; ++count) {
        for (const std::uint64_t capacity : {0, 1, 2, 7, 64, 100}) {
            std::uint64_t sum = 0;
            for (std::uint64_t i = 0; i < count; ++i)
                sum += membership::share_of(i, count, capacity);
            CHECK(sum == capacity);
        }
    }
}

TEST_CASE("a roster is restored from its text, and malformed text is rejected") {
    membership::roster content;
    content.version = 3;
    content.settled = false;
    content.previous = {{helpers::router_id{1}, helpers::incarnation{2}, "a"}};
    content.members = {{helpers::router_id{1}, helpers::incarnation{2}, "a"},
                       {helpers::router_id{5}, helpers::incarnation{9}, "b"}};
    CHECK(membership::parse_roster(membership::to_text(content)) == content);
    CHECK_FALSE(membership::parse_roster("{}"));
    CHECK_FALSE(membership::parse_roster("not json"));
    std::swap(content.members[0], content.members[1]);
    CHECK_FALSE(membership::parse_roster(membership::to_text(content)));
}

TEST_CASE("the roster settles after routers start, join and leave") {
    region fleet(5);
    fleet.run(5s);
    CHECK(fleet.seen_by(4).settled);
    CHECK(fleet.seen_by(4).members.size() == 5);
    fleet.add(5);
    fleet.run(5s);
    CHECK(fleet.seen_by(5).members.size() == 6);
    fleet.set_health(2, member_health::left);
    fleet.routers.erase(2);
    fleet.run(5s);
    CHECK(fleet.seen_by(1).settled);
    CHECK(fleet.seen_by(1).members.size() == 5);
}

TEST_CASE("an unreachable router keeps its entry and blocks changes until it confirms") {
    region fleet(4);
    fleet.run(5s);
    fleet.set_health(3, member_health::dead);
    fleet.paused.insert(3);
    fleet.add(4);
    fleet.run(30min);
    CHECK(fleet.seen_by(0).members.size() == 5);
    CHECK_FALSE(fleet.seen_by(0).settled);
    fleet.set_health(3, member_health::alive);
    fleet.paused.clear();
    fleet.run(5s);
    CHECK(fleet.seen_by(0).settled);
    CHECK(fleet.seen_by(3).members.size() == 5);
}

TEST_CASE("a crashed router keeps its entry for as long as a grant may last") {
    region fleet(4);
    fleet.run(5s);
    fleet.routers.erase(3);
    fleet.set_health(3, member_health::stopped);
    fleet.run(10min);
    CHECK(fleet.seen_by(0).members.size() == 4);
    fleet.run(2min);
    CHECK(fleet.seen_by(0).members.size() == 3);
    CHECK(fleet.seen_by(0).settled);
}

TEST_CASE("the roster does not change during a store outage, and lost replies do no harm") {
    region fleet(3);
    fleet.run(5s);
    const auto before = fleet.seen_by(0).version;
    fleet.store.down = true;
    fleet.add(3);
    fleet.run(60s);
    CHECK(fleet.seen_by(0).version == before);
    fleet.store.down = false;
    fleet.store.lose_replies = true;
    fleet.run(20s);
    CHECK(fleet.seen_by(3).members.size() == 4);
    CHECK(fleet.seen_by(3).settled);
}

TEST_CASE("of two concurrent writers the one with a conflict reads again") {
    region fleet(3);
    fleet.run(5s);
    // All routers but the lowest suspect it, so a second one becomes a writer too.
    auto lower = fleet.routers.at(0)->table.self();
    for (auto& [id, entry] : fleet.routers.at(0)->table.members())
        lower = entry.record.id < lower.id ? entry.record : lower;
    for (auto& [index, running] : fleet.routers) {
        if (running->table.self().id != lower.id)
            running->table.set_health(lower.id, member_health::suspect);
    }
    fleet.add(3);
    fleet.run(10s);
    CHECK(fleet.seen_by(0).settled);
    CHECK(fleet.seen_by(0).members.size() == 4);
    CHECK(fleet.seen_by(0) == fleet.seen_by(1));
}

TEST_CASE("store calls do not grow with the number of routers") {
    const auto calls_per_minute = [](std::size_t size) {
        region fleet(size);
        fleet.run(20s);
        fleet.store.calls = 0;
        fleet.run(60s);
        return fleet.store.calls;
    };
    CHECK(calls_per_minute(3) <= 31);
    CHECK(calls_per_minute(30) <= 31);
}
