// Gateways around a hub: news, sums, and what happens when hub or store fail.
#include "exchange/exchange_node.hpp"
#include "tests/discovery/fake_feed.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>

using namespace samphirespool;
using namespace std::chrono_literals;
using discovery::collection;
using tests::page_of;

namespace {

class fake_network;

struct fake_link final : exchange::exchange_link {
    fake_link(fake_network& network, helpers::endpoint self)
        : network(network), self(std::move(self)) {}
    void send(const helpers::endpoint& to, const exchange::report& message) override;
    void send(const helpers::endpoint& to, const exchange::reply& message) override;
    void on_report(std::function<void(const helpers::endpoint&, exchange::report)> task) override {
        this->report_task = std::move(task);
    }
    void on_reply(std::function<void(const helpers::endpoint&, exchange::reply)> task) override {
        this->answer_task = std::move(task);
    }

    fake_network& network;
    helpers::endpoint self;
    bool is_cut = false;
    std::function<void(const helpers::endpoint&, exchange::report)> report_task;
    std::function<void(const helpers::endpoint&, exchange::reply)> answer_task;
};

class fake_network {
public:
    explicit fake_network(kernel::manual_loop& loop) : loop(loop) {}
    std::map<helpers::endpoint, fake_link*> links;

    template <class Message>
    void deliver(fake_link& from, const helpers::endpoint& to, const Message& message) {
        const auto found = this->links.find(to);
        if (from.is_cut || found == this->links.end() || found->second->is_cut)
            return;
        this->loop.schedule(1ms, [target = found->second, sender = from.self, message] {
            if constexpr (std::is_same_v<Message, exchange::report>)
                target->report_task(sender, message);
            else
                target->answer_task(sender, message);
        });
    }

private:
    kernel::manual_loop& loop;
};

void fake_link::send(const helpers::endpoint& to, const exchange::report& message) {
    this->network.deliver(*this, to, message);
}

void fake_link::send(const helpers::endpoint& to, const exchange::reply& message) {
    this->network.deliver(*this, to, message);
}

// One gateway with a store connection of its own.
struct gateway_node {
    gateway_node(kernel::manual_loop& loop, fake_network& network, const exchange::member& self)
        : self(self),
          link(network, self.address),
          configuration(loop, random, events, source, kept, collection::configuration, {}),
          targets(loop, random, events, source, other, collection::targets, {}),
          departures(loop, random, events, source, other, collection::departures, {}),
          members(loop, random, events, source, other, collection::members, {}),
          node(loop, events, link, {&configuration, &targets, &departures, &members}, self.name,
               {}) {
        network.links[self.address] = &this->link;
        this->node.set_counts([this] { return this->counts; });
        this->node.on_others(
            [this](const auto& sums, std::uint32_t, helpers::duration) { this->others = sums; });
        for (auto* feed : {&configuration, &targets, &departures, &members})
            feed->start();
        for (int i = 0; i < 4; ++i)
            this->source.answer(static_cast<collection>(i), page_of(5));
    }

    // The store answers every open watch with nothing, or does not answer at all.
    void serve_store() {
        if (this->store_is_silent)
            return;
        for (int i = 0; i < 4; ++i) {
            const auto* call = this->source.open(static_cast<collection>(i));
            if (call == nullptr || call->what != "watch")
                continue;
            const bool is_news =
                call->which == collection::configuration && call->since < this->store_revision;
            this->source.answer(call->which,
                                is_news ? page_of(this->store_revision, {{"main", this->newest}})
                                        : page_of(this->store_revision));
        }
    }
    bool is_asking() { return this->source.open(collection::configuration) != nullptr; }
    std::uint32_t others_on(std::uint64_t target) const {
        for (const auto& each : this->others)
            if (each.incarnation_hash == target)
                return each.in_flight;
        return 0;
    }

    exchange::member self;
    kernel::random_source random{3};
    kernel::null_sink events;
    tests::fake_feed_source source;
    tests::kept_feed kept;
    tests::kept_feed other;
    fake_link link;
    discovery::feed_watch configuration;
    discovery::feed_watch targets;
    discovery::feed_watch departures;
    discovery::feed_watch members;
    exchange::exchange_node node;
    exchange::target_counts counts;
    exchange::target_counts others;
    std::uint64_t store_revision = 5;
    std::string newest;
    bool store_is_silent = false;
};

struct fleet {
    explicit fleet(int count, int data_centres = 1) {
        for (int i = 0; i < count; ++i)
            this->list.push_back({"g" + std::to_string(i),
                                  "dc" + std::to_string(i % data_centres),
                                  {"10.0.0." + std::to_string(i + 1), 7000},
                                  // The largest machine is the hub.
                                  i < data_centres ? 100U : 10U});
        this->loop.advance(10s);
        for (const auto& each : list)
            this->nodes.push_back(std::make_unique<gateway_node>(this->loop, this->network, each));
        for (auto& each : this->nodes) {
            each->node.set_members(list);
            each->node.start();
        }
    }
    void run(helpers::duration time) {
        for (auto passed = 0ns; passed < time; passed += 50ms) {
            this->loop.advance(50ms);
            for (auto& each : this->nodes)
                each->serve_store();
        }
    }
    int asking() {
        return static_cast<int>(std::count_if(this->nodes.begin(), this->nodes.end(),
                                              [](auto& each) { return each->is_asking(); }));
    }
    void publish(std::uint64_t revision, const std::string& content) {
        for (auto& each : this->nodes) {
            each->store_revision = revision;
            each->newest = content;
        }
    }
    gateway_node& at(std::size_t index) { return *this->nodes[index]; }

    kernel::manual_loop loop;
    fake_network network{loop};
    std::vector<exchange::member> list;
    std::vector<std::unique_ptr<gateway_node>> nodes;
};

} // namespace

TEST_CASE("exchange: only the hub asks the store, and all get its news") {
    fleet all(6);
    all.run(2s);
    CHECK(all.at(0).node.is_hub());
    for (std::size_t i = 1; i < 6; ++i)
        CHECK(all.at(i).node.is_following());
    // The watch that the followers had open is cancelled.
    for (std::size_t i = 1; i < 6; ++i)
        CHECK_FALSE(all.at(i).is_asking());
    all.publish(9, "version 9");
    all.run(700ms);
    for (auto& each : all.nodes)
        CHECK(each->kept.contents["main"] == "version 9");
}

TEST_CASE("exchange: each gateway learns what the others have on a target, without its own") {
    fleet all(4);
    for (std::uint32_t i = 0; i < 4; ++i)
        all.at(i).counts = {{77, i + 1}};
    all.run(1s);
    for (std::uint32_t i = 0; i < 4; ++i)
        CHECK(all.at(i).others_on(77) == 10 - (i + 1));
}

TEST_CASE("exchange: sums cross groups through their hubs") {
    fleet all(24, 3);
    for (auto& each : all.nodes)
        each->counts = {{77, 1}};
    all.run(2s);
    for (auto& each : all.nodes)
        CHECK(each->others_on(77) == 23);
}

TEST_CASE("exchange: of several groups only the first hub asks the store, and all get its news") {
    fleet all(24, 3);
    all.run(3s);
    for (int i = 0; i < 20; ++i) {
        all.run(50ms);
        CHECK(all.asking() <= 1);
    }
    for (const auto& each : all.nodes)
        CHECK((each->node.is_following() || each->node.is_hub()));
    all.publish(9, "version 9");
    all.run(1s);
    for (auto& each : all.nodes)
        CHECK(each->kept.contents["main"] == "version 9");
}

TEST_CASE("exchange: the other groups go on without the first hub, or without its store") {
    for (const bool is_cut : {true, false}) {
        CAPTURE(is_cut);
        fleet all(24, 3);
        all.run(3s);
        for (auto& each : all.nodes) {
            const bool is_first = each->node.is_hub() && !each->node.is_following();
            each->link.is_cut = is_first && is_cut;
            each->store_is_silent = is_first && !is_cut;
        }
        all.publish(9, "version 9");
        // Well within the two seconds that operators allow.
        all.run(1700ms);
        for (auto& each : all.nodes)
            if (!each->store_is_silent)
                CHECK(each->kept.contents["main"] == "version 9");
        // One other takes over for all.
        all.run(5s);
        if (is_cut)
            CHECK(all.asking() <= 2);
    }
}

TEST_CASE("exchange: sums cross groups also when any hub is lost") {
    for (int lost = 0; lost < 3; ++lost) {
        CAPTURE(lost);
        fleet all(24, 3);
        for (auto& each : all.nodes)
            each->counts = {{77, 1}};
        all.run(2s);
        all.nodes[static_cast<std::size_t>(lost)]->link.is_cut = true;
        all.run(4s);
        // The one that is cut off sees itself only.
        for (std::size_t i = 0; i < all.nodes.size(); ++i)
            if (i != static_cast<std::size_t>(lost))
                CHECK(all.at(i).others_on(77) == 22);
    }
}

TEST_CASE("exchange: a silent hub is passed over, and the others ask the store meanwhile") {
    fleet all(5);
    all.run(2s);
    all.at(0).link.is_cut = true;
    all.publish(9, "version 9");
    all.run(1500ms);
    for (std::size_t i = 1; i < 5; ++i)
        CHECK(all.at(i).kept.contents["main"] == "version 9");
    // The next one has taken over.
    const auto hubs = std::count_if(all.nodes.begin() + 1, all.nodes.end(),
                                    [](auto& each) { return each->node.is_hub(); });
    CHECK(hubs == 1);
    all.at(0).link.is_cut = false;
    all.run(4s);
    CHECK(all.at(0).node.is_hub());
    CHECK(all.at(1).node.is_following());
}

TEST_CASE("exchange: followers of a hub that the store does not answer ask it themselves") {
    fleet all(5);
    all.run(2s);
    all.at(0).store_is_silent = true;
    all.run(200ms);
    all.publish(9, "version 9");
    // Well within the two seconds that operators allow.
    all.run(1500ms);
    for (std::size_t i = 1; i < 5; ++i)
        CHECK(all.at(i).kept.contents["main"] == "version 9");
}

TEST_CASE("exchange: a follower without a path to the store still gets the news") {
    fleet all(5);
    all.run(2s);
    all.at(3).store_is_silent = true;
    all.publish(9, "version 9");
    all.run(1s);
    CHECK(all.at(3).kept.contents["main"] == "version 9");
}

TEST_CASE("exchange: a leaving hub hands over") {
    fleet all(5);
    all.run(2s);
    all.at(0).node.leave();
    all.run(2s);
    CHECK_FALSE(all.at(0).node.is_hub());
    const auto hubs = std::count_if(all.nodes.begin() + 1, all.nodes.end(),
                                    [](auto& each) { return each->node.is_hub(); });
    CHECK(hubs == 1);
}

TEST_CASE("exchange: news beyond a part of the link are left to the store") {
    fleet all(3);
    all.run(2s);
    // Larger than a hub may send in a second.
    all.publish(9, std::string(2'000'000, 'x'));
    all.run(2s);
    for (auto& each : all.nodes)
        CHECK(each->kept.contents["main"].size() == 2'000'000);
}

TEST_CASE("exchange: a hub that stays silent is tried less and less often") {
    fleet all(5);
    all.run(2s);
    all.at(0).link.is_cut = true;
    int asking = 0;
    int steps = 0;
    all.run(12s);
    for (; steps < 200; ++steps) {
        all.run(100ms);
        // One of four is the hub meanwhile.
        asking += all.asking() > 2 ? 1 : 0;
    }
    // A trial takes 0.4 s and comes every 8 s or more.
    CHECK(asking <= steps / 10);
    all.at(0).link.is_cut = false;
    all.run(10s);
    CHECK(all.at(0).node.is_hub());
    CHECK(all.at(1).node.is_following());
}

TEST_CASE("exchange: the hub removes members that are gone, one after the other, and no others") {
    fleet all(6);
    std::map<std::string, std::vector<std::string>> removed;
    for (auto& each : all.nodes)
        each->node.on_absent([&removed, name = each->self.name](const auto& gone) {
            removed[name].push_back(gone);
        });
    all.run(2s);
    all.at(4).link.is_cut = true;
    all.at(5).link.is_cut = true;
    all.run(50s);
    CHECK(removed.empty());
    all.run(15s);
    CHECK(removed["g0"].size() == 1);
    // The list without the first one.
    auto list = all.list;
    std::erase_if(list, [&](const auto& each) { return each.name == removed["g0"].front(); });
    for (auto& each : all.nodes)
        each->node.set_members(list);
    all.run(15s);
    REQUIRE(removed["g0"].size() == 2);
    CHECK(removed["g0"][0] != removed["g0"][1]);
    CHECK((removed["g0"][1] == "g4" || removed["g0"][1] == "g5"));
    // Those that are cut off take themselves for hubs, but hear of nobody.
    CHECK(removed.size() == 1);
}

TEST_CASE("exchange: a dead first hub is removed by the next one") {
    fleet all(5);
    std::vector<std::string> removed;
    for (std::size_t i = 1; i < 5; ++i)
        all.at(i).node.on_absent([&](const auto& gone) { removed.push_back(gone); });
    all.run(2s);
    all.at(0).link.is_cut = true;
    all.run(80s);
    REQUIRE_FALSE(removed.empty());
    CHECK(
        std::all_of(removed.begin(), removed.end(), [](const auto& each) { return each == "g0"; }));
}
