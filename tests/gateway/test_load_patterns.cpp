// Simulated load patterns against the real dispatcher and target catalog. Each test names its
// pattern and the effect that callers and targets must observe.
#include "exchange/load_aggregator.hpp"
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

// Several gateways in front of one service of engines. Each request lasts a fixed time, and every
// 100 ms all gateways receive the fleet's counts, as from the load exchange.
class small_fleet {
public:
    struct assigned_request {
        helpers::time_point finishes_at{};
        std::size_t gateway = 0;
        gateway::assignment assignment;
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
            // Half of the gateways are in another data centre.
            const auto* from = this->gateways.size() % 2 == 0 ? "east" : "west";
            auto& added = this->gateways.emplace_back(std::make_unique<member>(*this, name, from));
            added->dispatch.set_members(names);
            added->catalog.replace(this->targets, this->loop.time().now());
        }
        // No target is cold or new when the load begins.
        this->loop.advance(10s);
    }

    // Submits a request at a gateway and returns whether it was assigned at once.
    bool request(std::size_t gateway_index, std::uint64_t prefix_id, helpers::duration duration,
                 std::uint32_t priority = 1, const std::string& organisation = "org") {
        auto& from = *this->gateways[gateway_index];
        auto& prompt = this->prompts.emplace_back();
        prompt.segments = {{1, 500}, {prefix_id, 10'000}, {this->random.next(), 300}};
        // Shared, because a queued request is assigned after this function has returned.
        const auto is_assigned = std::make_shared<bool>(false);
        gateway::dispatch_request submission;
        submission.service = engines;
        submission.prompt = &prompt;
        submission.priority = priority;
        submission.organisation = helpers::id_of<helpers::organisation_id>(organisation);
        submission.objective_assign_by = this->loop.time().now() + 300ms;
        submission.queue_deadline = this->loop.time().now() + 1s;
        submission.on_assigned = [=, this](gateway::assignment assigned) {
            *is_assigned = true;
            ++this->assignments_per_target[assigned.target->registration.name];
            this->prefix_fetches += assigned.prefix_holder.has_value() ? 1 : 0;
            this->assigned_priorities.push_back(priority);
            this->assigned_organisations.push_back(organisation);
            this->in_progress.push_back(
                {this->loop.time().now() + duration, gateway_index, std::move(assigned)});
        };
        submission.on_rejected = [this](const kernel::error&) { ++this->rejected; };
        from.dispatch.submit(std::move(submission));
        return *is_assigned;
    }

    void advance(helpers::duration step) {
        this->loop.advance(step);
        const auto now = this->loop.time().now();
        for (auto each = this->in_progress.begin(); each != this->in_progress.end();) {
            if (each->finishes_at > now) {
                ++each;
                continue;
            }
            this->gateways[each->gateway]->dispatch.on_attempt_finished(
                each->assignment, gateway::attempt_result::succeeded);
            each = this->in_progress.erase(each);
        }
        this->loop.advance(std::chrono::nanoseconds(1));
        if (now - this->last_exchange >= 100ms)
            this->exchange();
    }

    std::map<std::string, std::uint32_t> load() const {
        std::map<std::string, std::uint32_t> result;
        for (const auto& target : this->targets)
            result[target.name] = 0;
        for (const auto& each : this->in_progress)
            ++result[each.assignment.target->registration.name];
        return result;
    }

    double mean_load() const {
        return static_cast<double>(this->in_progress.size()) /
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
            settings.own_name = name;
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
        this->last_exchange = this->loop.time().now();
        exchange::load_aggregator aggregator;
        for (const auto& each : this->gateways)
            aggregator.set_member_counts(each->name, each->data_centre, each->dispatch.own_counts(),
                                         this->last_exchange);
        for (const auto& each : this->gateways) {
            auto peer_counts = aggregator.total_for(each->data_centre, this->last_exchange);
            for (const auto& own : each->dispatch.own_counts())
                for (auto& peer_count : peer_counts)
                    peer_count.in_flight -=
                        peer_count.incarnation_hash == own.incarnation_hash ? own.in_flight : 0;
            each->dispatch.set_peer_counts(peer_counts, 0, 100ms);
        }
    }

    // Submits requests at the given rate. `fails` returns whether a request of a gateway fails at
    // the assigned target. Returns the number of failures in each second.
    using failure = std::function<bool(const member& from, const std::string& target)>;
    std::vector<int> run_load(int seconds, int requests_per_second, const failure& fails) {
        std::vector<int> failed(static_cast<std::size_t>(seconds));
        constexpr int steps = 100;
        for (int step = 0; step < seconds * steps; ++step) {
            for (int i = 0; i < requests_per_second / steps; ++i) {
                const auto from = this->random.below(this->gateways.size());
                if (!this->request(from, 100 + this->random.below(262), 300ms))
                    continue;
                auto& latest = this->in_progress.back();
                if (!fails(*this->gateways[from], latest.assignment.target->registration.name))
                    continue;
                ++failed[static_cast<std::size_t>(step / steps)];
                auto& dispatch = this->gateways[from]->dispatch;
                dispatch.on_attempt_finished(latest.assignment, gateway::attempt_result::neutral);
                dispatch.on_error_response(*latest.assignment.target);
                this->in_progress.pop_back();
            }
            this->advance(10ms);
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
    std::list<assigned_request> in_progress;
    std::map<std::string, int> assignments_per_target;
    std::vector<std::uint32_t> assigned_priorities;
    std::vector<std::string> assigned_organisations;
    int prefix_fetches = 0;
    int rejected = 0;
    helpers::time_point last_exchange{};

private:
    static std::shared_ptr<const routing::route_table> make_table(double cold_per_second) {
        routing::configuration values;
        values.version = 1;
        values.services.emplace(engines,
                                routing::service{"engines", "/health", 100, cold_per_second,
                                                 routing::engine_capacity{24, 400'000}});
        return std::make_shared<const routing::route_table>(std::move(values));
    }
};

} // namespace

TEST_CASE("load pattern, returning prompts: all gateways send a shared prefix to the same target") {
    small_fleet fleet(12, 30);
    std::map<std::uint64_t, std::set<std::string>> targets_of_prefix;
    for (int round = 0; round < 400; ++round) {
        const std::uint64_t prefix = 100 + static_cast<std::uint64_t>(round) % 40;
        REQUIRE(fleet.request(fleet.random.below(12), prefix, 300ms));
        targets_of_prefix[prefix].insert(
            fleet.in_progress.back().assignment.target->registration.name);
        fleet.advance(10ms);
    }
    const auto total =
        std::accumulate(targets_of_prefix.begin(), targets_of_prefix.end(), std::size_t{0},
                        [](std::size_t sum, const auto& each) { return sum + each.second.size(); });
    // 40 prefixes; a few are sent to a second target because of the load bound.
    CHECK(total <= 48);
}

TEST_CASE(
    "load pattern, hot prefix: under steady load few requests go to a target above twice the mean "
    "load plus three") {
    small_fleet fleet(58, 90);
    int above = 0;
    int sent = 0;
    for (int step = 0; step < 400; ++step) {
        for (int i = 0; i < 4; ++i) {
            const bool is_hot = fleet.random.fraction() < 0.28;
            const std::uint64_t prefix = is_hot ? 7 : 100 + fleet.random.below(262);
            fleet.request(fleet.random.below(58), prefix, 1500ms);
            if (step < 100)
                continue;
            ++sent;
            const auto load =
                fleet.load()[fleet.in_progress.back().assignment.target->registration.name];
            above += load > 2 * fleet.mean_load() + 3 ? 1 : 0;
        }
        fleet.advance(10ms);
    }
    // Operators allow 3 % of the requests.
    CHECK(above * 100 <= sent * 3);
}

TEST_CASE("load pattern, hot prefix: overflow targets fetch the prefix from its preferred target") {
    small_fleet fleet(1, 6);
    for (int i = 0; i < 12; ++i)
        fleet.request(0, 7, 1s);
    CHECK(fleet.prefix_fetches > 0);
    CHECK(fleet.load().size() == 6);
}

TEST_CASE("load pattern, cold targets: all gateways together stay within a cold target's rate") {
    for (const int gateways : {1, 3, 9, 30, 64}) {
        CAPTURE(gateways);
        small_fleet fleet(gateways, 4, 10);
        // All targets are cold, so that every request goes to a cold one.
        for (auto& gateway : fleet.gateways)
            for (auto target : fleet.targets) {
                target.cold_for = 20s;
                gateway->catalog.update(target, fleet.loop.time().now());
            }
        std::map<std::string, std::vector<helpers::time_point>> sends;
        for (int step = 0; step < 300; ++step) {
            const auto before = fleet.in_progress.size();
            fleet.request(fleet.random.below(static_cast<std::uint64_t>(gateways)), step, 5ms);
            if (fleet.in_progress.size() > before)
                sends[fleet.in_progress.back().assignment.target->registration.name].push_back(
                    fleet.loop.time().now());
            fleet.advance(10ms);
        }
        // Allowed per second: the rate of 10, times an overage of 1.5, plus a slack of 5.
        for (const auto& [name, times] : sends)
            for (std::size_t i = 0; i < times.size(); ++i) {
                const auto end = std::upper_bound(times.begin(), times.end(), times[i] + 1s);
                CHECK(end - times.begin() - static_cast<std::ptrdiff_t>(i) <= 20);
            }
    }
}

TEST_CASE("load pattern, drained data centre: its targets receive no requests") {
    small_fleet fleet(2, 4);
    for (auto& gateway : fleet.gateways) {
        auto away = tests::make_target("w0", "engines", "west", 24);
        gateway->catalog.update(away, fleet.loop.time().now());
        gateway->catalog.set_drained_data_centres({"east"});
    }
    for (int i = 0; i < 10; ++i)
        fleet.request(static_cast<std::size_t>(i % 2), i, 1s);
    CHECK(fleet.assignments_per_target["w0"] == 10);
    CHECK(fleet.assignments_per_target.size() == 1);
    fleet.gateways[0]->catalog.set_drained_data_centres({"east", "west"});
    fleet.request(0, 1, 1s);
    CHECK(fleet.rejected == 1);
}

TEST_CASE("load pattern, burst: the most urgent queued request gets the first free slot") {
    small_fleet fleet(1, 1);
    int assigned_count = 0;
    for (int i = 0; i < 30; ++i)
        assigned_count += fleet.request(0, i, i == 0 ? 200ms : 3s) ? 1 : 0;
    CHECK(assigned_count == 24);
    CHECK_FALSE(fleet.request(0, 50, 1s, 2));
    CHECK_FALSE(fleet.request(0, 51, 1s, 0));
    fleet.advance(210ms);
    REQUIRE(fleet.assigned_priorities.size() == 25);
    CHECK(fleet.assigned_priorities.back() == 0);
}

TEST_CASE("load pattern, overload: requests that can still meet their objective are served first") {
    small_fleet fleet(1, 1);
    for (int i = 0; i < 24; ++i)
        fleet.request(0, i, i < 2 ? 400ms : 5s);
    CHECK_FALSE(fleet.request(0, 50, 5s, 1, "first"));
    CHECK_FALSE(fleet.request(0, 51, 5s, 0, "urgent"));
    fleet.advance(350ms);
    CHECK_FALSE(fleet.request(0, 52, 5s, 1, "second"));
    fleet.advance(60ms);
    REQUIRE(fleet.assigned_organisations.size() == 26);
    // The priority takes precedence over the objective.
    CHECK(fleet.assigned_organisations[24] == "urgent");
    CHECK(fleet.assigned_organisations[25] == "second");
}

TEST_CASE("load pattern, overload: requests that cannot get a slot before their deadline are "
          "rejected at once") {
    small_fleet fleet(1, 1);
    // 24 slots, all assigned at once, so that the measured rate is 24 requests per second. They
    // become free one by one from 600 ms on.
    for (int i = 0; i < 24; ++i)
        fleet.request(0, i, std::chrono::milliseconds(600 + 40 * i));
    for (int i = 0; i < 30; ++i)
        fleet.request(0, 100 + i, 1s);
    CHECK(fleet.rejected == 0);
    fleet.advance(590ms);
    // All queued requests are ahead of a less urgent one, but they can no longer meet their
    // objectives and so are behind a new request of the same priority.
    fleet.request(0, 200, 1s, 2);
    CHECK(fleet.rejected == 1);
    fleet.request(0, 201, 1s, 1);
    CHECK(fleet.rejected == 1);
}

TEST_CASE("load pattern, surge of one organisation: it delays only its own requests") {
    small_fleet fleet(1, 1);
    for (int i = 0; i < 24; ++i)
        fleet.request(0, i, i < 6 ? 200ms : 5s);
    for (int i = 0; i < 40; ++i)
        fleet.request(0, 100 + i, 5s, 1, "surging");
    for (int i = 0; i < 2; ++i)
        CHECK_FALSE(fleet.request(0, 200 + i, 5s, 1, "quiet"));
    fleet.advance(210ms);
    REQUIRE(fleet.assigned_organisations.size() == 30);
    const auto quiet = std::count(fleet.assigned_organisations.begin() + 24,
                                  fleet.assigned_organisations.end(), std::string("quiet"));
    CHECK(quiet == 2);
}

TEST_CASE(
    "load pattern, burst: a request without a slot is rejected at its queue deadline, not when the "
    "time limit of the request has passed") {
    small_fleet fleet(1, 1);
    for (int i = 0; i < 24; ++i)
        fleet.request(0, i, 20s);
    CHECK_FALSE(fleet.request(0, 50, 1s));
    fleet.advance(900ms);
    CHECK(fleet.rejected == 0);
    fleet.advance(200ms);
    CHECK(fleet.rejected == 1);
}

TEST_CASE(
    "load pattern, target that fails repeatedly: it is ejected and then tried with one request") {
    small_fleet fleet(1, 3);
    auto& gateway = *fleet.gateways[0];
    std::string failing;
    for (int i = 0; i < 2; ++i) {
        fleet.request(0, 7, 10s);
        auto& last = fleet.in_progress.back();
        failing = last.assignment.target->registration.name;
        gateway.dispatch.on_attempt_finished(last.assignment, gateway::attempt_result::failed);
        fleet.in_progress.pop_back();
    }
    for (int i = 0; i < 6; ++i) {
        fleet.request(0, 7, 10s);
        CHECK(fleet.in_progress.back().assignment.target->registration.name != failing);
    }
    fleet.in_progress.clear();
    fleet.loop.advance(800ms);
    int trials = 0;
    for (int i = 0; i < 6; ++i) {
        fleet.request(0, 7, 10s);
        trials += fleet.in_progress.back().assignment.target->registration.name == failing ? 1 : 0;
    }
    CHECK(trials == 1);
}

TEST_CASE("load pattern, partly failing targets: all gateways avoid them after a few failures in "
          "the fleet") {
    small_fleet fleet(58, 90);
    fleet.run_load(3, 400, [](const auto&, const auto&) { return false; });
    const std::set<std::string> unhealthy{"e3", "e17", "e40", "e41", "e77", "e80"};
    const auto failed = fleet.run_load(6, 400, [&](const auto&, const std::string& target) {
        return unhealthy.contains(target) && fleet.random.fraction() < 0.5;
    });
    // A single gateway sends less than one request in ten seconds to a target. Undetected, six such
    // targets fail some 13 requests a second; six failures per target must suffice to detect them.
    CHECK(std::accumulate(failed.begin(), failed.end(), 0) <= 36);
}

TEST_CASE("load pattern, targets that fail for one data centre: only its gateways avoid them") {
    small_fleet fleet(58, 90);
    fleet.run_load(3, 400, [](const auto&, const auto&) { return false; });
    const std::set<std::string> unhealthy{"e3", "e17", "e40", "e41", "e77", "e80"};
    std::map<std::string, int> served;
    const auto failed = fleet.run_load(4, 400, [&](const auto& from, const std::string& target) {
        const bool fails = from.data_centre == "west" && unhealthy.contains(target) &&
                           fleet.random.fraction() < 0.6;
        if (!fails && unhealthy.contains(target))
            ++served[from.data_centre];
        return fails;
    });
    CHECK(std::accumulate(failed.begin(), failed.end(), 0) <= 36);
    CHECK(served["east"] > 25);
}

TEST_CASE("load pattern, errors of the whole service: none of its targets is suspected") {
    small_fleet fleet(20, 5);
    int sent = 0;
    const auto failed = fleet.run_load(8, 200, [&](const auto&, const auto&) {
        ++sent;
        return fleet.random.fraction() < 0.4;
    });
    CHECK(std::accumulate(failed.begin(), failed.end(), 0) > sent / 3);
    CHECK(std::all_of(fleet.gateways.begin(), fleet.gateways.end(),
                      [&](const auto& gateway) { return gateway->dispatch.queued() == 0; }));
}

TEST_CASE(
    "load pattern, suspected target in a full service: it is used before callers are rejected") {
    small_fleet fleet(1, 3);
    fleet.run_load(1, 100, [](const auto&, const auto&) { return false; });
    fleet.run_load(1, 100, [](const auto&, const std::string& target) { return target == "e1"; });
    fleet.advance(500ms);
    fleet.assignments_per_target.clear();
    int assigned_count = 0;
    for (int i = 0; i < 48; ++i)
        assigned_count += fleet.request(0, i, 5s) ? 1 : 0;
    CHECK(assigned_count == 48);
    CHECK(fleet.assignments_per_target["e1"] == 0);
    CHECK_FALSE(fleet.request(0, 50, 5s));
    fleet.advance(200ms);
    CHECK(fleet.assignments_per_target["e1"] == 0);
    fleet.advance(100ms);
    CHECK(fleet.assignments_per_target["e1"] == 1);
}

TEST_CASE("load pattern, suspected target that recovers: it receives requests again") {
    small_fleet fleet(20, 30);
    fleet.run_load(2, 400, [](const auto&, const auto&) { return false; });
    fleet.run_load(2, 400, [](const auto&, const std::string& target) { return target == "e3"; });
    fleet.assignments_per_target.clear();
    fleet.run_load(1, 400, [](const auto&, const auto&) { return false; });
    CHECK(fleet.assignments_per_target["e3"] == 0);
    fleet.run_load(5, 400, [](const auto&, const auto&) { return false; });
    CHECK(fleet.assignments_per_target["e3"] > 0);
}

TEST_CASE("load pattern, retry storm: retries of all gateways stay within the fleet's budget") {
    for (const std::size_t gateways : {1U, 9U, 64U}) {
        CAPTURE(gateways);
        const admission::fleet_retry_limits limits{0.2, 58, 10s};
        std::vector<admission::fleet_retry_budget> budgets(
            gateways, admission::fleet_retry_budget(limits, {}));
        kernel::manual_clock time;
        time.advance(100s);
        for (auto& each : budgets)
            each.set_members(gateways, time.now());
        std::vector<helpers::time_point> requests;
        std::vector<helpers::time_point> retries;
        for (int step = 0; step < 6000; ++step) {
            auto& budget = budgets[static_cast<std::size_t>(step) % gateways];
            budget.on_members_confirmed(time.now());
            // Every request fails and is to be retried twice.
            budget.record_request(engines, time.now());
            requests.push_back(time.now());
            for (int i = 0; i < 2; ++i)
                if (budget.try_spend(engines, time.now()))
                    retries.push_back(time.now());
            time.advance(5ms);
        }
        for (std::size_t i = 0; i < retries.size(); i += 7) {
            const auto end = retries[i] + 10s;
            const auto within = std::upper_bound(retries.begin(), retries.end(), end) -
                                retries.begin() - static_cast<std::ptrdiff_t>(i);
            const auto asked = std::upper_bound(requests.begin(), requests.end(), end) -
                               std::lower_bound(requests.begin(), requests.end(), retries[i]);
            CHECK(static_cast<double>(within) <= 0.2 * static_cast<double>(asked) + 58);
        }
    }
}

TEST_CASE(
    "load pattern, scale out: a new target fetches prefixes from their former target, but not "
    "from a failed one") {
    small_fleet fleet(1, 6);
    std::map<std::uint64_t, std::string> preferred_targets;
    for (std::uint64_t prefix = 100; prefix < 140; ++prefix) {
        fleet.request(0, prefix, 5ms);
        preferred_targets[prefix] = fleet.in_progress.back().assignment.target->registration.name;
        fleet.advance(10ms);
    }
    CHECK(fleet.prefix_fetches == 0);
    auto& gateway = *fleet.gateways[0];
    for (int i = 0; i < 6; ++i)
        gateway.catalog.update(tests::make_target("new" + std::to_string(i), "engines", "east", 24),
                               fleet.loop.time().now());
    int moved = 0;
    for (const auto& [prefix, preferred] : preferred_targets) {
        fleet.request(0, prefix, 5ms);
        const auto& assigned = fleet.in_progress.back().assignment;
        if (assigned.target->registration.name != preferred) {
            ++moved;
            REQUIRE(assigned.prefix_holder);
            CHECK(*assigned.prefix_holder == tests::make_target(preferred, "engines").address);
        }
        fleet.advance(10ms);
    }
    CHECK(moved > 0);
    // No prefix is fetched from a target that fails.
    const auto prefix = preferred_targets.begin()->first;
    const auto failed = preferred_targets.begin()->second;
    for (int i = 0; i < 4; ++i) {
        fleet.request(0, prefix, 10s);
        auto& last = fleet.in_progress.back();
        gateway.dispatch.on_attempt_finished(last.assignment, gateway::attempt_result::failed);
        fleet.in_progress.pop_back();
    }
    fleet.request(0, prefix, 10s);
    const auto& assigned = fleet.in_progress.back().assignment;
    if (assigned.prefix_holder)
        CHECK(*assigned.prefix_holder != tests::make_target(failed, "engines").address);
}

TEST_CASE("load pattern, targets stop while the registry is away: no prefix is fetched from them") {
    small_fleet fleet(1, 6);
    auto& gateway = *fleet.gateways[0];
    std::map<std::uint64_t, std::string> preferred_targets;
    for (std::uint64_t prefix = 100; prefix < 140; ++prefix) {
        fleet.request(0, prefix, 5ms);
        preferred_targets[prefix] = fleet.in_progress.back().assignment.target->registration.name;
        fleet.advance(10ms);
    }
    const auto stopped = preferred_targets.begin()->second;
    gateway.catalog.on_registry_lost();
    gateway.catalog.remove(stopped, fleet.loop.time().now());
    int moved = 0;
    for (const auto& [prefix, preferred] : preferred_targets) {
        if (preferred != stopped)
            continue;
        REQUIRE(fleet.request(0, prefix, 5ms));
        const auto& assigned = fleet.in_progress.back().assignment;
        CHECK(assigned.target->registration.name != stopped);
        if (assigned.prefix_holder)
            CHECK(*assigned.prefix_holder != tests::make_target(stopped, "engines").address);
        ++moved;
        fleet.advance(10ms);
    }
    CHECK(moved > 0);
}
