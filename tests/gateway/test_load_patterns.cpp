// Load patterns played through the real decisions: each case names its pattern and what callers and
// targets must see of it.
#include "exchange/load_board.hpp"
#include "tests/gateway/gateway_harness.hpp"

#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <numeric>
#include <set>

using namespace samphirespool;
using namespace std::chrono_literals;

namespace {

const auto engines = helpers::id_of<helpers::service_id>("engines");

// Gateways before one service of engines. Requests last a fixed time; the sums of the exchange
// reach all gateways once an interval.
class small_fleet {
public:
    struct placed {
        helpers::time_point until{};
        std::size_t gateway = 0;
        gateway::assignment at;
    };

    small_fleet(int gateways, int targets, double cold_per_second = 10)
        : table(make_table(cold_per_second)) {
        this->loop.advance(1s);
        std::vector<std::string> names;
        names.reserve(static_cast<std::size_t>(gateways));
        for (int i = 0; i < gateways; ++i)
            names.push_back("g" + std::to_string(i));
        for (int i = 0; i < targets; ++i)
            this->targets.push_back(
                tests::make_target("e" + std::to_string(i), "engines", "east", 24));
        for (const auto& name : names) {
            // Callers come from two data centres.
            const auto* from = this->gateways.size() % 2 == 0 ? "east" : "west";
            auto& made = this->gateways.emplace_back(std::make_unique<member>(*this, name, from));
            made->dispatch.set_members(names);
            made->catalog.replace(this->targets, this->loop.time().now());
        }
        // Everything is warm and old when the load begins.
        this->loop.advance(10s);
    }

    // Returns whether the request was placed at once.
    bool request(std::size_t at, std::uint64_t shared_part, helpers::duration lasts,
                 std::uint32_t priority = 1, const std::string& organisation = "org") {
        auto& from = *this->gateways[at];
        auto& wanted = this->prompts.emplace_back();
        wanted.segments = {{1, 500}, {shared_part, 10'000}, {this->random.next(), 300}};
        // A queued request is placed after this has returned.
        const auto is_placed = std::make_shared<bool>(false);
        gateway::dispatch_ticket ticket;
        ticket.service = engines;
        ticket.prompt = &wanted;
        ticket.priority = priority;
        ticket.organisation = helpers::id_of<helpers::organisation_id>(organisation);
        ticket.in_time_until = this->loop.time().now() + 300ms;
        ticket.wait_until = this->loop.time().now() + 1s;
        ticket.assigned = [=, this](gateway::assignment made) {
            *is_placed = true;
            ++this->counts[made.target->facts.name];
            this->fetches += made.holder.has_value() ? 1 : 0;
            this->order.push_back(priority);
            this->organisations.push_back(organisation);
            this->running.push_back({this->loop.time().now() + lasts, at, std::move(made)});
        };
        ticket.refused = [this](const kernel::error&) { ++this->refused; };
        from.dispatch.ask(std::move(ticket));
        return *is_placed;
    }

    void pass(helpers::duration step) {
        this->loop.advance(step);
        const auto now = this->loop.time().now();
        for (auto each = this->running.begin(); each != this->running.end();) {
            if (each->until > now) {
                ++each;
                continue;
            }
            this->gateways[each->gateway]->dispatch.on_ended(each->at, gateway::result::succeeded);
            each = this->running.erase(each);
        }
        this->loop.advance(std::chrono::nanoseconds(1));
        if (now - this->exchanged_at >= 100ms)
            this->exchange();
    }

    std::map<std::string, std::uint32_t> load() const {
        std::map<std::string, std::uint32_t> result;
        for (const auto& target : this->targets)
            result[target.name] = 0;
        for (const auto& each : this->running)
            ++result[each.at.target->facts.name];
        return result;
    }

    double mean_load() const {
        return static_cast<double>(this->running.size()) /
               static_cast<double>(this->targets.size());
    }

    struct member {
        member(small_fleet& fleet, const std::string& name, std::string data_centre)
            : name(name),
              data_centre(std::move(data_centre)),
              catalog(fleet.events, {}),
              dispatch(fleet.loop, fleet.random, fleet.events, this->catalog, settings_of(name)) {
            this->dispatch.set_table(fleet.table);
        }
        static gateway::dispatch_settings settings_of(const std::string& name) {
            gateway::dispatch_settings settings;
            settings.self = name;
            settings.data_centre = "east";
            settings.cold = {1.5, 5};
            return settings;
        }
        std::string name;
        std::string data_centre;
        discovery::target_catalog catalog;
        gateway::dispatcher dispatch;
    };

    void exchange() {
        this->exchanged_at = this->loop.time().now();
        exchange::load_board board;
        for (const auto& each : this->gateways)
            board.report(each->name, each->data_centre, each->dispatch.own_counts(),
                         this->exchanged_at);
        for (const auto& each : this->gateways) {
            auto others = board.total_for(each->data_centre, this->exchanged_at);
            for (const auto& own : each->dispatch.own_counts())
                for (auto& other : others)
                    other.in_flight -=
                        other.incarnation_hash == own.incarnation_hash ? own.in_flight : 0;
            each->dispatch.set_others(others, 0, 100ms);
        }
    }

    // Plays requests at the rate; `fails` tells whether one fails at the gateway's target. Returns
    // the failures of each second.
    using failure = std::function<bool(const member& from, const std::string& target)>;
    std::vector<int> play(int seconds, int requests_per_second, const failure& fails) {
        std::vector<int> failed(static_cast<std::size_t>(seconds));
        constexpr int steps = 100;
        for (int step = 0; step < seconds * steps; ++step) {
            for (int i = 0; i < requests_per_second / steps; ++i) {
                const auto from = this->random.below(this->gateways.size());
                if (!this->request(from, 100 + this->random.below(262), 300ms))
                    continue;
                auto& made = this->running.back();
                if (!fails(*this->gateways[from], made.at.target->facts.name))
                    continue;
                ++failed[static_cast<std::size_t>(step / steps)];
                auto& dispatch = this->gateways[from]->dispatch;
                dispatch.on_ended(made.at, gateway::result::neutral);
                dispatch.on_error_answer(*made.at.target);
                this->running.pop_back();
            }
            this->pass(10ms);
        }
        return failed;
    }

    kernel::manual_loop loop;
    kernel::random_source random{11};
    kernel::null_sink events;
    std::shared_ptr<const routing::route_table> table;
    std::vector<discovery::target> targets;
    std::vector<std::unique_ptr<member>> gateways;
    std::list<placement::prompt> prompts;
    std::list<placed> running;
    std::map<std::string, int> counts;
    std::vector<std::uint32_t> order;
    std::vector<std::string> organisations;
    int fetches = 0;
    int refused = 0;
    helpers::time_point exchanged_at{};

private:
    static std::shared_ptr<const routing::route_table> make_table(double cold_per_second) {
        routing::configuration values;
        values.version = 1;
        values.services.emplace(engines,
                                routing::service{"engines", "/health", 100, cold_per_second,
                                                 routing::engine_facts{24, 400'000}});
        return std::make_shared<const routing::route_table>(std::move(values));
    }
};

} // namespace

TEST_CASE("load pattern, returning prompts: a shared part stays at one target of the whole fleet") {
    small_fleet fleet(12, 30);
    std::map<std::uint64_t, std::set<std::string>> places;
    for (int round = 0; round < 400; ++round) {
        const std::uint64_t part = 100 + static_cast<std::uint64_t>(round) % 40;
        REQUIRE(fleet.request(fleet.random.below(12), part, 300ms));
        places[part].insert(fleet.running.back().at.target->facts.name);
        fleet.pass(10ms);
    }
    const auto total =
        std::accumulate(places.begin(), places.end(), std::size_t{0},
                        [](std::size_t sum, const auto& each) { return sum + each.second.size(); });
    // 40 parts; a few spill over the bound.
    CHECK(total <= 48);
}

TEST_CASE("load pattern, hot key: no target gets over twice the mean and three, in calm") {
    small_fleet fleet(58, 90);
    int above = 0;
    int sent = 0;
    for (int step = 0; step < 400; ++step) {
        for (int i = 0; i < 4; ++i) {
            const bool is_hot = fleet.random.fraction() < 0.28;
            const std::uint64_t part = is_hot ? 7 : 100 + fleet.random.below(262);
            fleet.request(fleet.random.below(58), part, 1500ms);
            if (step < 100)
                continue;
            ++sent;
            const auto load = fleet.load()[fleet.running.back().at.target->facts.name];
            above += load > 2 * fleet.mean_load() + 3 ? 1 : 0;
        }
        fleet.pass(10ms);
    }
    // Operators allow 3 in 100.
    CHECK(above * 100 <= sent * 3);
}

TEST_CASE("load pattern, hot key: what spills over fetches the part from its home") {
    small_fleet fleet(1, 6);
    for (int i = 0; i < 12; ++i)
        fleet.request(0, 7, 1s);
    CHECK(fleet.fetches > 0);
    CHECK(fleet.load().size() == 6);
}

TEST_CASE("load pattern, cold return: a cold target gets no more than its rate from all gateways") {
    for (const int gateways : {1, 3, 9, 30, 64}) {
        CAPTURE(gateways);
        small_fleet fleet(gateways, 4, 10);
        // All are cold, so that all requests are for cold targets.
        for (auto& gateway : fleet.gateways)
            for (auto target : fleet.targets) {
                target.cold_for = 20s;
                gateway->catalog.update(target, fleet.loop.time().now());
            }
        std::map<std::string, std::vector<helpers::time_point>> sends;
        for (int step = 0; step < 300; ++step) {
            const auto before = fleet.running.size();
            fleet.request(fleet.random.below(static_cast<std::uint64_t>(gateways)), step, 5ms);
            if (fleet.running.size() > before)
                sends[fleet.running.back().at.target->facts.name].push_back(
                    fleet.loop.time().now());
            fleet.pass(10ms);
        }
        // The rate is 10, times 1.5, plus 5.
        for (const auto& [name, times] : sends)
            for (std::size_t i = 0; i < times.size(); ++i) {
                const auto end = std::upper_bound(times.begin(), times.end(), times[i] + 1s);
                CHECK(end - times.begin() - static_cast<std::ptrdiff_t>(i) <= 20);
            }
    }
}

TEST_CASE("load pattern, data centre leaving: none of its targets gets work from then on") {
    small_fleet fleet(2, 4);
    for (auto& gateway : fleet.gateways) {
        auto away = tests::make_target("w0", "engines", "west", 24);
        gateway->catalog.update(away, fleet.loop.time().now());
        gateway->catalog.set_departed({"east"});
    }
    for (int i = 0; i < 10; ++i)
        fleet.request(static_cast<std::size_t>(i % 2), i, 1s);
    CHECK(fleet.counts["w0"] == 10);
    CHECK(fleet.counts.size() == 1);
    fleet.gateways[0]->catalog.set_departed({"east", "west"});
    fleet.request(0, 1, 1s);
    CHECK(fleet.refused == 1);
}

TEST_CASE("load pattern, burst: the most urgent waiting request gets the first free slot") {
    small_fleet fleet(1, 1);
    int placed = 0;
    for (int i = 0; i < 30; ++i)
        placed += fleet.request(0, i, i == 0 ? 200ms : 3s) ? 1 : 0;
    CHECK(placed == 24);
    CHECK_FALSE(fleet.request(0, 50, 1s, 2));
    CHECK_FALSE(fleet.request(0, 51, 1s, 0));
    fleet.pass(210ms);
    REQUIRE(fleet.order.size() == 25);
    CHECK(fleet.order.back() == 0);
}

TEST_CASE("load pattern, overload: what can still be in time goes before what is late") {
    small_fleet fleet(1, 1);
    for (int i = 0; i < 24; ++i)
        fleet.request(0, i, i < 2 ? 400ms : 5s);
    CHECK_FALSE(fleet.request(0, 50, 5s, 1, "first"));
    CHECK_FALSE(fleet.request(0, 51, 5s, 0, "urgent"));
    fleet.pass(350ms);
    CHECK_FALSE(fleet.request(0, 52, 5s, 1, "second"));
    fleet.pass(60ms);
    REQUIRE(fleet.organisations.size() == 26);
    // Urgency goes before all else.
    CHECK(fleet.organisations[24] == "urgent");
    CHECK(fleet.organisations[25] == "second");
}

TEST_CASE("load pattern, overload: what will find no slot in its time is refused at once") {
    small_fleet fleet(1, 1);
    // 24 slots, each for a second: as many a second get one.
    for (int i = 0; i < 24; ++i)
        fleet.request(0, i, std::chrono::milliseconds(600 + 40 * i));
    for (int i = 0; i < 30; ++i)
        fleet.request(0, 100 + i, 1s);
    CHECK(fleet.refused == 0);
    fleet.pass(590ms);
    // All that wait go before a less urgent one, and none of them, all late, before one of their
    // own urgency.
    fleet.request(0, 200, 1s, 2);
    CHECK(fleet.refused == 1);
    fleet.request(0, 201, 1s, 1);
    CHECK(fleet.refused == 1);
}

TEST_CASE("load pattern, hot organisation: a surge waits behind itself") {
    small_fleet fleet(1, 1);
    for (int i = 0; i < 24; ++i)
        fleet.request(0, i, i < 6 ? 200ms : 5s);
    for (int i = 0; i < 40; ++i)
        fleet.request(0, 100 + i, 5s, 1, "surging");
    for (int i = 0; i < 2; ++i)
        CHECK_FALSE(fleet.request(0, 200 + i, 5s, 1, "quiet"));
    fleet.pass(210ms);
    REQUIRE(fleet.organisations.size() == 30);
    const auto quiet = std::count(fleet.organisations.begin() + 24, fleet.organisations.end(),
                                  std::string("quiet"));
    CHECK(quiet == 2);
}

TEST_CASE(
    "load pattern, burst: what finds no slot in its time is refused then, not at its deadline") {
    small_fleet fleet(1, 1);
    for (int i = 0; i < 24; ++i)
        fleet.request(0, i, 20s);
    CHECK_FALSE(fleet.request(0, 50, 1s));
    fleet.pass(900ms);
    CHECK(fleet.refused == 0);
    fleet.pass(200ms);
    CHECK(fleet.refused == 1);
}

TEST_CASE("load pattern, lying target: one that fails repeatedly is left alone, then tried once") {
    small_fleet fleet(1, 3);
    auto& gateway = *fleet.gateways[0];
    std::string liar;
    for (int i = 0; i < 2; ++i) {
        fleet.request(0, 7, 10s);
        auto& last = fleet.running.back();
        liar = last.at.target->facts.name;
        gateway.dispatch.on_ended(last.at, gateway::result::failed);
        fleet.running.pop_back();
    }
    for (int i = 0; i < 6; ++i) {
        fleet.request(0, 7, 10s);
        CHECK(fleet.running.back().at.target->facts.name != liar);
    }
    fleet.running.clear();
    fleet.loop.advance(800ms);
    int trials = 0;
    for (int i = 0; i < 6; ++i) {
        fleet.request(0, 7, 10s);
        trials += fleet.running.back().at.target->facts.name == liar ? 1 : 0;
    }
    CHECK(trials == 1);
}

TEST_CASE("load pattern, grey targets: all gateways leave them after a few failures of the fleet") {
    small_fleet fleet(58, 90);
    fleet.play(3, 400, [](const auto&, const auto&) { return false; });
    const std::set<std::string> grey{"e3", "e17", "e40", "e41", "e77", "e80"};
    const auto failed = fleet.play(6, 400, [&](const auto&, const std::string& target) {
        return grey.contains(target) && fleet.random.fraction() < 0.5;
    });
    // Each gateway alone sends a target less than one request in ten seconds. Unseen, six such
    // targets fail some 13 requests a second; six for each target must do.
    CHECK(std::accumulate(failed.begin(), failed.end(), 0) <= 36);
}

TEST_CASE("load pattern, targets grey for one data centre: only its gateways leave them") {
    small_fleet fleet(58, 90);
    fleet.play(3, 400, [](const auto&, const auto&) { return false; });
    const std::set<std::string> grey{"e3", "e17", "e40", "e41", "e77", "e80"};
    std::map<std::string, int> served;
    const auto failed = fleet.play(4, 400, [&](const auto& from, const std::string& target) {
        const bool fails =
            from.data_centre == "west" && grey.contains(target) && fleet.random.fraction() < 0.6;
        if (!fails && grey.contains(target))
            ++served[from.data_centre];
        return fails;
    });
    CHECK(std::accumulate(failed.begin(), failed.end(), 0) <= 36);
    CHECK(served["east"] > 25);
}

TEST_CASE("load pattern, errors of the service itself: none of its targets is left") {
    small_fleet fleet(20, 5);
    int sent = 0;
    const auto failed = fleet.play(8, 200, [&](const auto&, const auto&) {
        ++sent;
        return fleet.random.fraction() < 0.4;
    });
    CHECK(std::accumulate(failed.begin(), failed.end(), 0) > sent / 3);
    CHECK(std::all_of(fleet.gateways.begin(), fleet.gateways.end(),
                      [&](const auto& gateway) { return gateway->dispatch.waiting() == 0; }));
}

TEST_CASE("load pattern, grey target in a full service: it is used before callers are refused") {
    small_fleet fleet(1, 3);
    fleet.play(1, 100, [](const auto&, const auto&) { return false; });
    fleet.play(1, 100, [](const auto&, const std::string& target) { return target == "e1"; });
    fleet.pass(500ms);
    fleet.counts.clear();
    int placed = 0;
    for (int i = 0; i < 48; ++i)
        placed += fleet.request(0, i, 5s) ? 1 : 0;
    CHECK(placed == 48);
    CHECK(fleet.counts["e1"] == 0);
    CHECK_FALSE(fleet.request(0, 50, 5s));
    fleet.pass(200ms);
    CHECK(fleet.counts["e1"] == 0);
    fleet.pass(100ms);
    CHECK(fleet.counts["e1"] == 1);
}

TEST_CASE("load pattern, grey target after its trouble: it gets work again") {
    small_fleet fleet(20, 30);
    fleet.play(2, 400, [](const auto&, const auto&) { return false; });
    fleet.play(2, 400, [](const auto&, const std::string& target) { return target == "e3"; });
    fleet.counts.clear();
    fleet.play(1, 400, [](const auto&, const auto&) { return false; });
    CHECK(fleet.counts["e3"] == 0);
    fleet.play(5, 400, [](const auto&, const auto&) { return false; });
    CHECK(fleet.counts["e3"] > 0);
}

TEST_CASE("load pattern, retry storm: repeats of all gateways stay within the shared budget") {
    for (const std::size_t gateways : {1U, 9U, 64U}) {
        CAPTURE(gateways);
        const admission::fleet_retry_limits limits{0.2, 58, 10s};
        std::vector<admission::fleet_retry_budget> budgets(gateways,
                                                           admission::fleet_retry_budget(limits));
        for (auto& each : budgets)
            each.set_fleet_size(gateways);
        kernel::manual_clock time;
        time.advance(100s);
        std::vector<helpers::time_point> requests;
        std::vector<helpers::time_point> repeats;
        for (int step = 0; step < 6000; ++step) {
            auto& budget = budgets[static_cast<std::size_t>(step) % gateways];
            // Every request fails and asks to be repeated twice.
            budget.record_request(engines, time.now());
            requests.push_back(time.now());
            for (int i = 0; i < 2; ++i)
                if (budget.try_spend(engines, time.now()))
                    repeats.push_back(time.now());
            time.advance(5ms);
        }
        for (std::size_t i = 0; i < repeats.size(); i += 7) {
            const auto end = repeats[i] + 10s;
            const auto within = std::upper_bound(repeats.begin(), repeats.end(), end) -
                                repeats.begin() - static_cast<std::ptrdiff_t>(i);
            const auto asked = std::upper_bound(requests.begin(), requests.end(), end) -
                               std::lower_bound(requests.begin(), requests.end(), repeats[i]);
            CHECK(static_cast<double>(within) <= 0.2 * static_cast<double>(asked) + 58);
        }
    }
}

TEST_CASE("load pattern, scale out: a new target fetches parts from their old home, not from a "
          "failed one") {
    small_fleet fleet(1, 6);
    std::map<std::uint64_t, std::string> homes;
    for (std::uint64_t part = 100; part < 140; ++part) {
        fleet.request(0, part, 5ms);
        homes[part] = fleet.running.back().at.target->facts.name;
        fleet.pass(10ms);
    }
    CHECK(fleet.fetches == 0);
    auto& gateway = *fleet.gateways[0];
    for (int i = 0; i < 6; ++i)
        gateway.catalog.update(tests::make_target("new" + std::to_string(i), "engines", "east", 24),
                               fleet.loop.time().now());
    int moved = 0;
    for (const auto& [part, home] : homes) {
        fleet.request(0, part, 5ms);
        const auto& made = fleet.running.back().at;
        if (made.target->facts.name != home) {
            ++moved;
            REQUIRE(made.holder);
            CHECK(*made.holder == tests::make_target(home, "engines").address);
        }
        fleet.pass(10ms);
    }
    CHECK(moved > 0);
    // A target that fails is asked for nothing, not for parts either.
    const auto part = homes.begin()->first;
    const auto failed = homes.begin()->second;
    for (int i = 0; i < 4; ++i) {
        fleet.request(0, part, 10s);
        auto& last = fleet.running.back();
        gateway.dispatch.on_ended(last.at, gateway::result::failed);
        fleet.running.pop_back();
    }
    fleet.request(0, part, 10s);
    const auto& made = fleet.running.back().at;
    if (made.holder)
        CHECK(*made.holder != tests::make_target(failed, "engines").address);
}
