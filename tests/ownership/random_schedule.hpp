// A seeded random schedule over a fake region: requests, crashes, restarts, pauses, partitions,
// message loss, disagreeing views and roster changes at the same time.
#pragma once

#include "tests/ownership/fake_region.hpp"

namespace samphirespool::tests {

class random_schedule {
public:
    random_schedule(region_shape shape, std::uint64_t seed)
        : size(shape.routers),
          region(with_short_grants(std::move(shape)), seed),
          random(seed * 31 + 7) {}

    void run(int steps) {
        this->region.run(std::chrono::seconds(1));
        for (int step = 0; step < steps; ++step) {
            this->generate_load();
            if (this->random.below(12) == 0)
                this->inject_fault();
            this->region.run(std::chrono::milliseconds(5 + this->random.below(100)));
            this->region.check();
        }
    }

    static constexpr auto longest_request = std::chrono::seconds(6);

    std::size_t size;
    fake_region region;

private:
    using health = membership::member_health;

    static region_shape with_short_grants(region_shape shape) {
        shape.timing.max_grant_duration = longest_request + std::chrono::seconds(1);
        return shape;
    }

    std::size_t random_router() { return this->random.below(this->size); }
    bool is_running(std::size_t index) {
        return this->region.routers.contains(index) && !this->region.paused.contains(index);
    }

    void generate_load() {
        for (int i = 0; i < 4; ++i) {
            const auto at = this->random_router();
            // Grants that a router outside the roster holds through a crashed sponsor are not
            // covered.
            if (!this->is_running(at) || this->region.roster.find(fake_region::id(at)) == nullptr)
                continue;
            const auto deadline =
                std::chrono::milliseconds(200 + this->random.below(longest_request.count() * 950));
            if (this->random.below(2) == 0)
                this->region.request(at, deadline);
            else
                this->region.finish_one(at);
        }
    }

    void inject_fault() {
        switch (this->random.below(7)) {
        case 0:
            this->crash();
            break;
        case 1:
            this->pause();
            break;
        case 2:
            this->partition();
            break;
        case 3:
            this->region.connected = [](auto, auto) { return true; };
            this->report_all_alive();
            break;
        case 4:
            this->region.loss = this->random.below(3) == 0 ? 0.2 : 0;
            break;
        case 5:
            this->region.set_health(this->random_router(), this->random_router(), health::dead);
            break;
        default:
            this->change_roster();
            break;
        }
    }

    // Sets a router's health in the view of each other router, each after its own random delay. A
    // running router that the other one can reach by then is not set to failed, and one that it
    // cannot reach is not set to alive.
    void report_health(std::size_t about, health now, std::chrono::milliseconds within) {
        const auto incarnation = this->region.incarnations[about];
        for (std::size_t by = 0; by < this->size; ++by) {
            const std::chrono::milliseconds delay(
                this->random.below(static_cast<std::uint64_t>(within.count())));
            this->region.loop.schedule(delay, [this, by, about, now, incarnation] {
                const auto silent = !this->is_running(about) || !this->region.connected(by, about);
                const auto wrong = now == health::alive ? silent : !silent;
                if (this->region.incarnations[about] == incarnation && !wrong)
                    this->region.set_health(by, about, now);
            });
        }
    }

    void crash() {
        const auto index = this->random_router();
        if (!this->is_running(index))
            return;
        this->region.crash(index);
        this->report_health(index, health::stopped, std::chrono::milliseconds(500));
        const std::chrono::milliseconds pause(100 + this->random.below(4000));
        this->region.loop.schedule(pause, [this, index] {
            if (!this->region.routers.contains(index))
                this->region.start(index, this->region.incarnations[index] + 1);
        });
    }

    void pause() {
        const auto index = this->random_router();
        if (!this->is_running(index))
            return;
        this->region.pause(index);
        this->report_health(index, health::dead, std::chrono::milliseconds(3000));
        const std::chrono::milliseconds pause(100 + this->random.below(9000));
        this->region.loop.schedule(pause, [this, index] {
            if (!this->region.paused.contains(index))
                return;
            this->region.resume(index);
            this->report_health(index, health::alive, std::chrono::milliseconds(1000));
        });
    }

    void partition() {
        const auto mask = this->random.next();
        this->region.connected = [mask](auto a, auto b) {
            return ((mask >> a) & 1) == ((mask >> b) & 1);
        };
        for (std::size_t i = 0; i < this->size; ++i)
            this->report_health(i, health::dead, std::chrono::milliseconds(3000));
    }

    void report_all_alive() {
        for (std::size_t i = 0; i < this->size; ++i) {
            if (this->is_running(i))
                this->report_health(i, health::alive, std::chrono::milliseconds(1000));
        }
    }

    // The last router leaves or joins, in two roster versions: the second one is set only after
    // every router has the first and agrees.
    void change_roster() {
        const auto all_running =
            this->region.paused.empty() && this->region.routers.size() == this->size;
        if (!all_running || this->region.loop.time().now() < this->next_change_at)
            return;
        if (this->region.roster.settled)
            this->begin_change();
        else
            this->settle_change();
    }

    void begin_change() {
        const auto spare = this->size - 1;
        const auto member = this->region.roster.find(fake_region::id(spare)) != nullptr;
        if (member && !this->region.at(spare).manager.handed_over())
            return;
        auto next = this->region.roster;
        ++next.version;
        next.settled = false;
        next.previous = next.members;
        if (member) {
            std::erase_if(next.members,
                          [&](const auto& e) { return e.id == fake_region::id(spare); });
            this->region.crash(spare);
            this->region.set_health_everywhere(spare, health::left);
            this->region.loop.schedule(std::chrono::seconds(2), [this, spare] {
                this->region.start(spare, this->region.incarnations[spare] + 1);
            });
        } else {
            next.members.push_back(
                this->region.make_entry(spare, this->region.incarnations[spare]));
        }
        std::sort(next.members.begin(), next.members.end(),
                  [](const auto& a, const auto& b) { return a.id < b.id; });
        this->region.set_roster(next);
    }

    void settle_change() {
        for (const auto& [index, running] : this->region.routers) {
            if (!running->manager.ready_for_roster())
                return;
        }
        auto next = this->region.roster;
        ++next.version;
        next.settled = true;
        next.previous.clear();
        this->region.roster = next;
        this->next_change_at = this->region.loop.time().now() + std::chrono::seconds(3);
        for (std::size_t i = 0; i < this->size; ++i) {
            const std::chrono::milliseconds delay(this->random.below(2000));
            this->region.loop.schedule(delay, [this, i, next] {
                if (this->region.routers.contains(i) && this->region.roster == next)
                    this->region.at(i).manager.set_roster(next);
            });
        }
    }

    // No roster change before this time: the last one is still being distributed.
    helpers::time_point next_change_at{};
    kernel::random_source random;
};

} // namespace samphirespool::tests
