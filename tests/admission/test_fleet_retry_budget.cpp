// Tests of the division of the fleet's retry budget: no disruption of gateways or of their member
// lists may take the sum of all shares above the budget.
#include "admission/fleet_retry_budget.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace samphirespool;
using namespace std::chrono_literals;

namespace {

const auto desk = helpers::id_of<helpers::service_id>("desk");
constexpr helpers::duration step = 20ms;
constexpr admission::fleet_retry_limits limits{0.2, 60, 10s};

// One gateway process, and what it knows of the members.
struct gateway_process {
    admission::fleet_retry_budget budget;
    std::size_t known_members = 0;

    gateway_process(helpers::time_point now, std::size_t members) : budget(limits, now) {
        this->learn(members, true, now);
    }
    // A list without this gateway confirms nothing.
    void learn(std::size_t members, bool is_listed, helpers::time_point now) {
        if (members != this->known_members)
            this->budget.set_members(members, now);
        this->known_members = members;
        if (is_listed)
            this->budget.on_members_confirmed(now);
    }
};

struct machine {
    std::optional<gateway_process> process;
    helpers::time_point down_until{};
    helpers::time_point paused_until{};
    helpers::time_point cut_until{};
    helpers::time_point next_list{};
    bool is_member = true;
};

struct fault_settings {
    bool kills = false;
    bool pauses = false;
    bool cuts = false;
    bool joins = false;
    // All gateways at once, within one window.
    bool kill_series = false;
};

// A fleet whose requests all fail, so that each gateway retries as often as its share allows.
class overloaded_fleet {
public:
    overloaded_fleet(std::size_t count, std::uint64_t seed, const fault_settings& faults)
        : faults(faults), random(seed), machines(count) {
        this->now += 1000s;
        for (auto& each : this->machines)
            each.process.emplace(this->now, count);
        // Without traffic, until all shares are whole.
        this->idle_until = this->now + 45s;
    }

    void run_for(helpers::duration time) {
        for (auto passed = 0ns; passed < time; passed += step) {
            this->now += step;
            if (this->now >= this->idle_until)
                this->disturb();
            for (auto& each : this->machines)
                this->run(each);
        }
    }

    // The largest ratio of the retries in a window to what the fleet may send in it. The requests
    // are those of the window, of the one before it, or of the one half a window before it.
    double worst_use() const {
        double worst = 0;
        for (std::size_t first = 0; first < this->retries.size(); ++first) {
            const auto begin = this->retries[first];
            const auto count = count_within(this->retries, begin, begin + limits.window);
            const auto requests =
                std::max({count_within(this->requests, begin, begin + limits.window),
                          count_within(this->requests, begin - limits.window, begin),
                          count_within(this->requests, begin - limits.window / 2,
                                       begin + limits.window / 2)});
            worst =
                std::max(worst, static_cast<double>(count) /
                                    (limits.ratio * static_cast<double>(requests) + limits.burst));
        }
        return worst;
    }

    std::size_t retry_count() const { return this->retries.size(); }
    std::size_t request_count() const { return this->requests.size(); }

private:
    using times = std::vector<helpers::time_point>;

    static std::size_t count_within(const times& from, helpers::time_point begin,
                                    helpers::time_point end) {
        return static_cast<std::size_t>(std::lower_bound(from.begin(), from.end(), end) -
                                        std::lower_bound(from.begin(), from.end(), begin));
    }
    bool happens(double per_second) {
        const std::chrono::duration<double> length = step;
        return std::bernoulli_distribution(std::min(1.0, per_second * length.count()))(
            this->random);
    }
    helpers::duration up_to(helpers::duration most) {
        return helpers::duration(
            std::uniform_int_distribution<std::int64_t>(0, most.count())(this->random));
    }
    std::size_t member_count() const {
        return static_cast<std::size_t>(std::count_if(this->machines.begin(), this->machines.end(),
                                                      [](const auto& m) { return m.is_member; }));
    }
    machine& any() {
        return this->machines[std::uniform_int_distribution<std::size_t>(0, this->machines.size() -
                                                                                1)(this->random)];
    }
    void kill(machine& which) {
        which.process.reset();
        which.down_until = this->now + 100ms + this->up_to(900ms);
    }
    void disturb() {
        const auto scale = static_cast<double>(this->machines.size());
        if (this->faults.kills && this->happens(0.05 * scale))
            this->kill(this->any());
        if (this->faults.kill_series && this->happens(0.25))
            for (auto& each : this->machines)
                this->kill(each);
        if (this->faults.pauses && this->happens(0.03 * scale))
            this->any().paused_until = this->now + this->up_to(6s);
        if (this->faults.cuts && this->happens(0.03 * scale))
            this->any().cut_until = this->now + this->up_to(40s);
        if (this->faults.joins && this->happens(0.01 * scale)) {
            auto& changed = this->any();
            changed.is_member = !changed.is_member;
        }
    }
    void run(machine& each) {
        if (this->now < each.paused_until)
            return;
        if (!each.process) {
            if (this->now < each.down_until)
                return;
            // A process that has just started knows nobody but itself.
            each.process.emplace(this->now, 1);
            each.next_list = this->now + this->up_to(2s);
        }
        if (this->now >= each.next_list && this->now >= each.cut_until) {
            each.process->learn(std::max<std::size_t>(1, this->member_count()), each.is_member,
                                this->now);
            each.next_list = this->now + this->up_to(12s);
        }
        if (this->now < this->idle_until || !this->happens(requests_per_second))
            return;
        this->requests.push_back(this->now);
        each.process->budget.record_request(desk, this->now);
        for (int i = 0; i < 3; ++i)
            if (each.process->budget.try_spend(desk, this->now))
                this->retries.push_back(this->now);
    }

    static constexpr double requests_per_second = 8;

    fault_settings faults;
    std::mt19937_64 random;
    std::vector<machine> machines;
    helpers::time_point now{};
    helpers::time_point idle_until{};
    // Both in order.
    times requests;
    times retries;
};

int seed_count() {
    const auto* factor = std::getenv("RETRY_FLEET_SEED_FACTOR");
    return 2 * (factor == nullptr ? 1 : std::max(1, std::atoi(factor)));
}

const std::map<std::string, fault_settings> all_faults{
    {"kills of single gateways", {.kills = true}},
    {"kills of all gateways in series", {.kill_series = true}},
    {"pauses", {.pauses = true}},
    {"cuts from the store and joining members", {.cuts = true, .joins = true}},
    {"all of these", {true, true, true, true, true}}};

} // namespace

// Guards against BUDGET: a restarted gateway spends again what the process before it has spent, or
// counts fewer members than the others do.
TEST_CASE("retry budget fleet: the sum of all shares holds over restarts, pauses, cuts and "
          "different member lists") {
    for (const std::size_t count : {9U, 64U, 300U})
        for (const auto& kind : all_faults)
            for (int seed = 1; seed <= seed_count(); ++seed) {
                CAPTURE(count);
                CAPTURE(kind.first);
                CAPTURE(seed);
                overloaded_fleet fleet(count, static_cast<std::uint64_t>(seed), kind.second);
                fleet.run_for(80s);
                CHECK(fleet.worst_use() <= 1);
            }
}

TEST_CASE("retry budget fleet: without disruption most of the budget can be used") {
    for (const std::size_t count : {9U, 64U, 300U}) {
        CAPTURE(count);
        overloaded_fleet fleet(count, 1, {});
        fleet.run_for(80s);
        CHECK(fleet.worst_use() <= 1);
        CHECK(static_cast<double>(fleet.retry_count()) >=
              0.8 * limits.ratio * static_cast<double>(fleet.request_count()));
    }
}

// Guards against BUDGET: until its member list is read, a gateway takes the whole burst as its own.
TEST_CASE("retry budget: no share of the burst until the members are known and settled") {
    const helpers::time_point start{1000s};
    admission::fleet_retry_budget budget(limits, start);
    CHECK_FALSE(budget.try_spend(desk, start + 1s));
    budget.set_members(1, start);
    budget.on_members_confirmed(start + 1s);
    CHECK_FALSE(budget.try_spend(desk, start + 1s));
    const auto settled = start + admission::share_divisor::settling_time;
    CHECK_FALSE(budget.try_spend(desk, settled));
    budget.on_members_confirmed(settled);
    CHECK(budget.try_spend(desk, settled));
}

TEST_CASE(
    "share divisor: a smaller member list counts only after the shares of the larger one have "
    "ended") {
    using admission::share_divisor;
    const helpers::time_point start{1000s};
    share_divisor divisor(start);
    divisor.set_members(10, start);
    const auto changed = start + 60s;
    divisor.set_members(4, changed);
    divisor.on_confirmed(changed + share_divisor::settling_time);
    CHECK(divisor.value(changed + share_divisor::settling_time) == 10);
    CHECK(divisor.value(changed + share_divisor::settling_time + 1s) == 4);
    // A larger one counts at once.
    divisor.set_members(12, changed + share_divisor::settling_time + 2s);
    CHECK(divisor.value(changed + share_divisor::settling_time + 2s) == 12);
    // No share without a confirmation.
    CHECK_FALSE(divisor.value(changed + 2 * share_divisor::settling_time));
}
