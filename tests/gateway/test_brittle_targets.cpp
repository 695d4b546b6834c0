// Tests of services whose targets fall over if they have to reject too many requests.
#include "exchange/load_aggregator.hpp"
#include "tests/gateway/gateway_harness.hpp"

#include <doctest/doctest.h>

#include <deque>

using namespace samphirespool;
using namespace std::chrono_literals;

namespace {

const auto desk = helpers::id_of<helpers::service_id>("desk");
constexpr std::uint32_t rejection_limit = 4;

std::vector<std::string> names_of(int gateways) {
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(gateways));
    for (int i = 0; i < gateways; ++i)
        names.push_back("g" + std::to_string(i));
    return names;
}

// Gateways in front of targets that reject what finds no free slot, and fall over at too many
// rejections in a second. Every 100 ms all gateways receive the fleet's counts.
class brittle_fleet {
public:
    brittle_fleet(int gateways, int targets, std::uint32_t slots, bool says_so) : says_so(says_so) {
        routing::configuration values;
        values.version = 1;
        values.services.emplace(desk, routing::service{"desk", "/health", 100, 0, std::nullopt});
        const auto table = std::make_shared<const routing::route_table>(std::move(values));
        const auto names = names_of(gateways);
        for (int i = 0; i < targets; ++i)
            this->registrations.push_back(
                tests::make_target("t" + std::to_string(i), "desk", "east", slots));
        for (const auto& name : names) {
            auto& added = this->members.emplace_back(std::make_unique<member>(*this, name));
            added->dispatch.set_table(table);
            added->dispatch.set_members(names);
            added->catalog.replace(this->registrations, this->loop.time().now());
        }
        this->loop.advance(10s);
    }

    // The targets say that they are brittle under a light load first.
    void warm_up(double per_second, helpers::duration service_time) {
        this->brittle_from = this->loop.time().now() + 3s;
        this->run(3s, per_second, service_time);
        this->served = this->sent = 0;
    }

    // Sends requests at the rate, each of which takes the given time at its target.
    void run(helpers::duration time, double per_second, helpers::duration service_time) {
        double due = 0;
        for (auto passed = 0ns; passed < time; passed += 5ms) {
            for (due += per_second * 0.005; due >= 1; due -= 1)
                this->request(this->random.below(this->members.size()), service_time);
            this->step();
        }
    }

    int falls = 0;
    int served = 0;
    int sent = 0;

private:
    struct member {
        member(brittle_fleet& fleet, const std::string& name)
            : catalog(fleet.events, {}),
              dispatch(fleet.loop, fleet.random, fleet.events, this->catalog, settings_of(name)) {}
        static gateway::dispatch_settings settings_of(const std::string& name) {
            gateway::dispatch_settings settings;
            settings.own_name = name;
            settings.data_centre = "east";
            return settings;
        }
        discovery::target_catalog catalog;
        gateway::dispatcher dispatch;
    };
    struct running {
        helpers::time_point finishes_at{};
        std::size_t gateway = 0;
        gateway::assignment assigned;
    };
    struct target_state {
        std::uint32_t busy = 0;
        std::deque<helpers::time_point> rejections;
        helpers::time_point down_until{};
    };

    void request(std::size_t from, helpers::duration service_time) {
        ++this->sent;
        auto& prompt = this->prompts.emplace_back();
        prompt.segments = {{0, 100}};
        gateway::dispatch_request submission;
        submission.service = desk;
        submission.prompt = &prompt;
        submission.priority = 1;
        submission.objective_assign_by = this->loop.time().now() + 100ms;
        submission.queue_deadline = this->loop.time().now() + 500ms;
        submission.on_assigned = [=, this](gateway::assignment assigned) {
            this->arrive(from, std::move(assigned), service_time);
        };
        submission.on_rejected = [](const kernel::error&) {};
        this->members[from]->dispatch.submit(std::move(submission));
    }

    void arrive(std::size_t from, gateway::assignment assigned, helpers::duration service_time) {
        const auto now = this->loop.time().now();
        auto& target = this->targets[assigned.target->registration.name];
        const bool is_down = now < target.down_until;
        if (!is_down && target.busy < assigned.target->registration.slots) {
            ++target.busy;
            this->in_progress.push_back({now + service_time, from, std::move(assigned)});
            return;
        }
        if (!is_down)
            this->reject(target);
        // A response takes a moment.
        this->loop.schedule(2ms, [=, this]() mutable {
            auto& dispatch = this->members[from]->dispatch;
            if (!is_down) {
                dispatch.on_brittleness(assigned, this->limit());
                dispatch.on_rejected_by_target(assigned);
            }
            dispatch.on_attempt_finished(assigned, is_down ? gateway::attempt_result::unreachable
                                                           : gateway::attempt_result::neutral);
        });
    }

    void reject(target_state& target) {
        const auto now = this->loop.time().now();
        target.rejections.push_back(now);
        while (now - target.rejections.front() > 1s)
            target.rejections.pop_front();
        // Targets have room for more until their statement is some seconds old.
        if (target.rejections.size() <= rejection_limit || now < this->brittle_from)
            return;
        ++this->falls;
        target.rejections.clear();
        target.down_until = now + 3s;
    }

    std::optional<std::uint32_t> limit() const {
        return this->says_so ? std::optional(rejection_limit) : std::nullopt;
    }

    void step() {
        this->loop.advance(5ms);
        const auto now = this->loop.time().now();
        for (auto each = this->in_progress.begin(); each != this->in_progress.end();) {
            if (each->finishes_at > now) {
                ++each;
                continue;
            }
            --this->targets[each->assigned.target->registration.name].busy;
            ++this->served;
            auto& dispatch = this->members[each->gateway]->dispatch;
            dispatch.on_brittleness(each->assigned, this->limit());
            dispatch.on_attempt_finished(each->assigned, gateway::attempt_result::succeeded);
            each = this->in_progress.erase(each);
        }
        this->loop.advance(1ns);
        if (now - this->exchanged_at >= 100ms)
            this->exchange();
    }

    void exchange() {
        this->exchanged_at = this->loop.time().now();
        exchange::load_aggregator aggregator;
        for (std::size_t i = 0; i < this->members.size(); ++i)
            aggregator.set_member_counts("g" + std::to_string(i), "east",
                                         this->members[i]->dispatch.own_counts(),
                                         this->exchanged_at);
        const auto totals = aggregator.total_for("east", this->exchanged_at);
        for (const auto& each : this->members) {
            auto peers = totals;
            for (const auto& own : each->dispatch.own_counts())
                for (auto& count : peers)
                    if (count.incarnation_hash == own.incarnation_hash)
                        count.in_flight -= std::min(count.in_flight, own.in_flight);
            each->dispatch.set_peer_counts(peers, 0, 100ms);
        }
    }

    bool says_so;
    kernel::manual_loop loop;
    kernel::random_source random{17};
    kernel::null_sink events;
    std::vector<discovery::target> registrations;
    std::vector<std::unique_ptr<member>> members;
    std::list<placement::prompt> prompts;
    std::list<running> in_progress;
    std::map<std::string, target_state> targets;
    helpers::time_point exchanged_at{};
    helpers::time_point brittle_from{};
};

} // namespace

// Guards against LIMIT: targets that fall over at rejections get more than they have room for.
TEST_CASE("brittle targets: an overloaded service falls over at most as often as its users bear") {
    struct load {
        int gateways;
        int targets;
        std::uint32_t slots;
        double per_second;
        helpers::duration service_time;
    };
    // Each about one and a half times what the targets can serve.
    for (const auto& each :
         {load{9, 3, 6, 900, 30ms}, load{9, 9, 64, 870, 1s}, load{64, 16, 6, 4800, 30ms}}) {
        CAPTURE(each.gateways);
        CAPTURE(each.targets);
        brittle_fleet fleet(each.gateways, each.targets, each.slots, true);
        fleet.warm_up(each.per_second / 3, each.service_time);
        fleet.run(4s, each.per_second, each.service_time);
        CHECK(fleet.falls <= 2 + each.targets / 10);
        // The slots are used, not only spared.
        CHECK(fleet.served * 2 > fleet.sent * 4 / 5);
    }
}

TEST_CASE("brittle targets: only whole numbers are read") {
    CHECK(admission::parse_rejection_limit("5") == 5U);
    for (const auto* text : {"", "-1", "2.5", "x", "5 ", "99999999999"})
        CHECK_FALSE(admission::parse_rejection_limit(text));
}

TEST_CASE("brittle targets: the slots of a target are divided, and all of them are given out") {
    const auto names = names_of(9);
    for (const std::uint32_t slots : {1U, 6U, 9U, 64U}) {
        CAPTURE(slots);
        std::uint32_t sum = 0;
        for (const auto& name : names) {
            admission::brittle_services services(name);
            services.set_members(names);
            services.on_response(desk, 5, {});
            std::uint32_t own = 0;
            while (services.may_send(desk, 1, "t1", slots, own, {}))
                ++own;
            sum += own;
        }
        CHECK(sum == slots);
    }
}

TEST_CASE("brittle targets: one that rejects is left alone, and the statement ends by a response") {
    admission::brittle_services services("g1");
    services.set_members({"g1"});
    helpers::time_point now{10s};
    CHECK(services.on_response(desk, 5, now));
    services.on_rejection(desk, 1, now);
    CHECK_FALSE(services.may_send(desk, 1, "t1", 4, 0, now + 900ms));
    CHECK(services.may_send(desk, 2, "t2", 4, 0, now + 900ms));
    CHECK(services.may_send(desk, 1, "t1", 4, 0, now + 1100ms));
    // A response from before the statement may arrive after it.
    services.on_response(desk, std::nullopt, now + 100ms);
    CHECK(services.is_brittle(desk));
    // A gateway that hears nothing asks now and then.
    CHECK_FALSE(services.may_send(desk, 2, "t2", 4, 4, now + 2s));
    CHECK(services.may_send(desk, 2, "t2", 4, 4, now + 3s));
    services.on_sent(desk, now + 3s);
    CHECK_FALSE(services.may_send(desk, 2, "t2", 4, 4, now + 4s));
    services.on_response(desk, std::nullopt, now + 4s);
    CHECK_FALSE(services.is_brittle(desk));
}
