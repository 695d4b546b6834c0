// A seeded random schedule of faults over a fake region: requests, crashes, restarts, sleep,
// partitions, loss, disagreeing views and roster changes, all at once.
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
            this->load();
            if (this->random.below(12) == 0)
                this->fault();
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
        shape.timing.longest_grant = longest_request + std::chrono::seconds(1);
        return shape;
    }

    std::size_t any() { return this->random.below(this->size); }
    bool awake(std::size_t index) {
        return this->region.routers.contains(index) && !this->region.paused.contains(index);
    }

    void load() {
        for (int i = 0; i < 4; ++i) {
            const auto at = this->any();
            // What a router that is no member holds through a crashed sponsor is not covered.
            if (!this->awake(at) || this->region.roster.find(fake_region::id(at)) == nullptr)
                continue;
            const auto deadline =
                std::chrono::milliseconds(200 + this->random.below(longest_request.count() * 950));
            if (this->random.below(2) == 0)
                this->region.request(at, deadline);
            else
                this->region.finish_one(at);
        }
    }

    void fault() {
        switch (this->random.below(7)) {
        case 0:
            this->crash();
            break;
        case 1:
            this->pause();
            break;
        case 2:
            this->part();
            break;
        case 3:
            this->region.connected = [](auto, auto) { return true; };
            this->believe_all_alive();
            break;
        case 4:
            this->region.loss = this->random.below(3) == 0 ? 0.2 : 0;
            break;
        case 5:
            this->region.judge(this->any(), this->any(), health::dead);
            break;
        default:
            this->change_roster();
            break;
        }
    }

    // Each router learns the new health of another at its own time, if they are not parted.
    void tell(std::size_t about, health now, std::chrono::milliseconds within) {
        const auto incarnation = this->region.incarnations[about];
        for (std::size_t by = 0; by < this->size; ++by) {
            const std::chrono::milliseconds delay(
                this->random.below(static_cast<std::uint64_t>(within.count())));
            this->region.loop.schedule(delay, [this, by, about, now, incarnation] {
                const auto silent = !this->awake(about) || !this->region.connected(by, about);
                const auto wrong = now == health::alive ? silent : !silent;
                if (this->region.incarnations[about] == incarnation && !wrong)
                    this->region.judge(by, about, now);
            });
        }
    }

    void crash() {
        const auto index = this->any();
        if (!this->awake(index))
            return;
        this->region.crash(index);
        this->tell(index, health::stopped, std::chrono::milliseconds(500));
        const std::chrono::milliseconds pause(100 + this->random.below(4000));
        this->region.loop.schedule(pause, [this, index] {
            if (!this->region.routers.contains(index))
                this->region.start(index, this->region.incarnations[index] + 1);
        });
    }

    void pause() {
        const auto index = this->any();
        if (!this->awake(index))
            return;
        this->region.pause(index);
        this->tell(index, health::dead, std::chrono::milliseconds(3000));
        const std::chrono::milliseconds pause(100 + this->random.below(9000));
        this->region.loop.schedule(pause, [this, index] {
            if (!this->region.paused.contains(index))
                return;
            this->region.wake(index);
            this->tell(index, health::alive, std::chrono::milliseconds(1000));
        });
    }

    void part() {
        const auto mask = this->random.next();
        this->region.connected = [mask](auto a, auto b) {
            return ((mask >> a) & 1) == ((mask >> b) & 1);
        };
        for (std::size_t i = 0; i < this->size; ++i)
            this->tell(i, health::dead, std::chrono::milliseconds(3000));
    }

    void believe_all_alive() {
        for (std::size_t i = 0; i < this->size; ++i) {
            if (this->awake(i))
                this->tell(i, health::alive, std::chrono::milliseconds(1000));
        }
    }

    // The last router leaves by its own will, or joins. In two versions: the second one comes into
    // force only after every router has the first and confirmed it.
    void change_roster() {
        const auto all_there =
            this->region.paused.empty() && this->region.routers.size() == this->size;
        if (!all_there || this->region.loop.time().now() < this->calm)
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
            this->region.judge_all(spare, health::left);
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
        this->calm = this->region.loop.time().now() + std::chrono::seconds(3);
        for (std::size_t i = 0; i < this->size; ++i) {
            const std::chrono::milliseconds delay(this->random.below(2000));
            this->region.loop.schedule(delay, [this, i, next] {
                if (this->region.routers.contains(i) && this->region.roster == next)
                    this->region.at(i).manager.set_roster(next);
            });
        }
    }

    // No change of the roster before this time: the last one is under way.
    helpers::time_point calm{};
    kernel::random_source random;
};

} // namespace samphirespool::tests
