// The share managers of a region's routers over an in-memory network that loses and delays messages
// and can be partitioned. Routers can crash, pause and resume. The test sets the health that each
// router sees of the others. After every step the region checks that no target's capacity is
// exceeded.
#pragma once

#include "kernel/loop.hpp"
#include "kernel/random.hpp"
#include "membership/member_table.hpp"
#include "ownership/share_reservations.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace samphirespool::tests {

// The event loop of one process. While the process is paused, due tasks queue up.
class process_loop final : public kernel::loop {
public:
    explicit process_loop(kernel::manual_loop& base) : base(base) {}
    const kernel::clock& time() const override { return this->base.time(); }
    kernel::timer_id schedule(helpers::duration delay, kernel::task work) override {
        const auto id = ++this->last_id;
        this->tasks[id] = std::move(work);
        this->base.schedule(delay, [this, id, alive = std::weak_ptr(this->alive_token)] {
            if (!alive.expired())
                this->run(id);
        });
        return id;
    }
    void cancel(kernel::timer_id id) override { this->tasks.erase(id); }
    void pause() { this->paused = true; }
    void resume() {
        this->paused = false;
        const auto due = std::exchange(this->backlog, {});
        for (const auto id : due)
            this->run(id);
    }

private:
    void run(kernel::timer_id id) {
        if (this->paused) {
            this->backlog.push_back(id);
            return;
        }
        auto task = this->tasks.extract(id);
        if (!task.empty())
            task.mapped()();
    }

    kernel::manual_loop& base;
    std::shared_ptr<int> alive_token = std::make_shared<int>(0);
    std::map<kernel::timer_id, kernel::task> tasks;
    std::vector<kernel::timer_id> backlog;
    kernel::timer_id last_id = 0;
    bool paused = false;
};

struct region_shape {
    std::size_t routers = 4;
    std::uint32_t capacity = 4;
    // Routers with the same number share a data centre; empty: all in one.
    std::vector<int> data_centres;
    std::size_t targets = 1;
    ownership::share_timing timing{};
};

class fake_region {
public:
    struct router final : ownership::share_outbox {
        router(fake_region& region, std::size_t index, std::uint64_t incarnation)
            : region(region),
              index(index),
              loop(region.loop),
              view(region.loop.time(), region.make_record(index, incarnation)),
              manager(this->loop, this->view, *this, region.shape.timing),
              reservations(this->loop, this->manager, region.shape.timing) {}
        void send(const helpers::endpoint& to, const ownership::share_message& content) override {
            this->region.deliver(this->index, static_cast<std::size_t>(to.port), content);
        }

        fake_region& region;
        std::size_t index;
        process_loop loop;
        membership::member_table view;
        ownership::share_manager manager;
        ownership::share_reservations reservations;
        std::uint64_t next_request = 0;
        // Grants in use, by target.
        std::map<helpers::target_id, std::vector<admission::grant_id>> in_use;
        std::size_t rejected = 0;
    };

    explicit fake_region(region_shape shape, std::uint64_t seed = 1)
        : shape(std::move(shape)), random(seed) {
        for (std::size_t i = 0; i < this->shape.targets; ++i)
            this->targets.push_back(helpers::target_id{1000 + i});
        this->roster.version = 1;
        for (std::size_t i = 0; i < this->shape.routers; ++i)
            this->roster.members.push_back(this->make_entry(i, 1));
        std::sort(this->roster.members.begin(), this->roster.members.end(),
                  [](const auto& a, const auto& b) { return a.id < b.id; });
        for (std::size_t i = 0; i < this->shape.routers; ++i)
            this->start(i, 1);
    }

    static helpers::router_id id(std::size_t index) { return helpers::router_id{1 + index}; }

    membership::roster_entry make_entry(std::size_t index, std::uint64_t incarnation) const {
        return {id(index), helpers::incarnation{incarnation}, this->data_centre(index)};
    }
    std::string data_centre(std::size_t index) const {
        return this->shape.data_centres.empty()
                   ? "dc"
                   : "dc-" + std::to_string(this->shape.data_centres.at(index));
    }
    membership::member_record make_record(std::size_t index, std::uint64_t incarnation) const {
        membership::member_record record;
        record.id = id(index);
        record.name = "router-" + std::to_string(index);
        record.address = {"10.0.0.1", static_cast<std::uint16_t>(index)};
        record.region = "region";
        record.data_centre = this->data_centre(index);
        record.incarnation = helpers::incarnation{incarnation};
        record.state = membership::member_state::ready;
        return record;
    }

    router& start(std::size_t index, std::uint64_t incarnation) {
        this->routers.erase(index);
        this->incarnations[index] = incarnation;
        auto& started =
            *(this->routers[index] = std::make_unique<router>(*this, index, incarnation));
        for (auto& [other, running] : this->routers) {
            running->view.merge(this->make_record(index, incarnation));
            started.view.merge(this->make_record(other, this->incarnations[other]));
        }
        started.manager.set_roster(this->roster);
        this->set_services(started);
        return started;
    }

    void set_services(router& of) {
        ownership::service_targets service{
            helpers::service_id{7}, helpers::id_of<helpers::region_id>("region"), 1, 1000.0, {}};
        for (const auto target : this->targets)
            service.targets.push_back(
                {target, 1, this->shape.capacity, this->shape.capacity, true});
        of.manager.set_services(std::span(&service, 1));
    }

    void crash(std::size_t index) { this->routers.erase(index); }
    void pause(std::size_t index) {
        this->paused.insert(index);
        this->at(index).loop.pause();
    }
    void resume(std::size_t index) {
        this->paused.erase(index);
        this->at(index).loop.resume();
    }
    router& at(std::size_t index) { return *this->routers.at(index); }

    // Sets the health of `index` in the view of `by`.
    void set_health(std::size_t by, std::size_t index, membership::member_health health) {
        if (by == index || !this->routers.contains(by))
            return;
        auto& view = this->at(by).view;
        const auto* known = view.find(id(index));
        if (known != nullptr && health == membership::member_health::alive &&
            known->record.health != health) {
            auto back = known->record;
            back.health = health;
            ++back.sequence;
            back.incarnation = helpers::incarnation{this->incarnations[index]};
            view.merge(back);
            return;
        }
        view.set_health(id(index), health);
    }
    void set_health_everywhere(std::size_t index, membership::member_health health) {
        for (auto& [by, running] : this->routers)
            this->set_health(by, index, health);
    }
    void set_roster(membership::roster updated) {
        this->roster = std::move(updated);
        for (auto& [index, running] : this->routers)
            running->manager.set_roster(this->roster);
    }

    // Starts a request at the router.
    void request(std::size_t at, helpers::duration deadline = std::chrono::seconds(60)) {
        auto& by = this->at(at);
        admission::reservation_request request;
        request.request = {id(at), helpers::incarnation{this->incarnations[at]}, ++by.next_request};
        request.candidates = this->targets;
        request.deadline = this->loop.time().now() + deadline;
        by.reservations.reserve(request,
                                [this, &by, request](const admission::reservation_reply& reply) {
                                    if (reply.granted)
                                        this->record_grant(by, reply.issued, request.deadline);
                                    else
                                        ++by.rejected;
                                    this->check();
                                });
    }
    // Records a grant as in use. The target ends the request at its deadline even if the router is
    // paused.
    void record_grant(router& by, const admission::grant& grant, helpers::time_point deadline) {
        ++this->granted;
        by.in_use[grant.target].push_back(grant.id);
        const auto remaining = deadline - this->loop.time().now();
        this->loop.schedule(remaining, [this, grant, index = by.index,
                                        incarnation = this->incarnations[by.index]] {
            const auto found = this->routers.find(index);
            if (found == this->routers.end() || this->incarnations[index] != incarnation)
                return;
            auto& holder = *found->second;
            if (std::erase(holder.in_use[grant.target], grant.id) == 0)
                return;
            holder.loop.post([&holder, grant] {
                holder.reservations.finish({grant.id, admission::release::result::cancelled, {}});
            });
        });
    }
    void finish_one(std::size_t at,
                    admission::release::result how = admission::release::result::success) {
        if (!this->routers.contains(at) || this->paused.contains(at))
            return;
        for (auto& [target, grants] : this->at(at).in_use) {
            if (grants.empty())
                continue;
            const auto grant = grants.back();
            grants.pop_back();
            this->at(at).reservations.finish({grant, how, std::chrono::milliseconds(5)});
            return;
        }
    }
    std::size_t in_use(std::size_t at) {
        std::size_t count = 0;
        for (const auto& [target, grants] : this->at(at).in_use)
            count += grants.size();
        return count;
    }
    std::size_t in_use() {
        std::size_t count = 0;
        for (const auto& [index, running] : this->routers)
            count += this->in_use(index);
        return count;
    }

    void run(helpers::duration time) { this->loop.advance(time); }
    ownership::shard_id shard() { return this->routers.begin()->second->manager.shards().front(); }
    std::size_t owner() {
        for (auto& [index, running] : this->routers) {
            const auto* owner = running->manager.owner_of(this->shard());
            if (owner != nullptr && owner->is_active())
                return index;
        }
        return this->shape.routers;
    }

    // Counts the grants of paused routers too: their requests continue at the targets.
    void check() {
        for (const auto target : this->targets) {
            std::size_t sum = 0;
            for (const auto& [index, running] : this->routers) {
                const auto found = running->in_use.find(target);
                sum += found == running->in_use.end() ? 0 : found->second.size();
            }
            this->max_in_use = std::max(this->max_in_use, sum);
            if (sum > this->shape.capacity)
                ++this->violations;
        }
        this->check_invariants();
    }

    // Checks rules of model/shares.pml on the state of the real code.
    void check_invariants() {
        const auto now = this->loop.time().now();
        std::map<std::pair<helpers::router_id, helpers::incarnation>, int> counted_by;
        for (const auto& [index, running] : this->routers) {
            const auto* owner = running->manager.owner_of(running->manager.shards().front());
            if (owner == nullptr || !owner->is_active())
                continue;
            std::size_t lent = 0;
            for (const auto& [id, entry] : owner->lending().entries()) {
                if (!entry.lends(now))
                    continue;
                ++lent;
                // Rule promise: no two owners count the same incarnation of a lender.
                if (++counted_by[{id, entry.incarnation}] > 1)
                    ++this->broken_invariants;
            }
            this->check_complete(*owner, lent);
        }
    }

    // Rule complete: an owner to which every member lends knows every grant in use.
    void check_complete(const ownership::share_owner& owner, std::size_t lent) {
        if (lent != this->routers.size() || lent != this->roster.members.size())
            return;
        for (const auto target : this->targets) {
            std::size_t uses = 0;
            for (const auto& [index, running] : this->routers)
                uses += running->in_use[target].size();
            if (owner.targets().in_flight(target) < uses)
                ++this->broken_invariants;
        }
    }

    region_shape shape;
    kernel::manual_loop loop;
    kernel::random_source random;
    std::vector<helpers::target_id> targets;
    membership::roster roster;
    std::map<std::size_t, std::unique_ptr<router>> routers;
    std::map<std::size_t, std::uint64_t> incarnations;
    std::set<std::size_t> paused;
    double loss = 0;
    helpers::duration longest_delay = std::chrono::milliseconds(3);
    std::function<bool(std::size_t, std::size_t)> connected = [](auto, auto) { return true; };
    std::size_t violations = 0;
    std::size_t broken_invariants = 0;
    std::size_t max_in_use = 0;
    std::size_t granted = 0;
    std::uint64_t messages = 0;

private:
    std::map<std::pair<std::size_t, std::size_t>, helpers::time_point> last_arrival;

    void deliver(std::size_t from, std::size_t to, const ownership::share_message& content) {
        ++this->messages;
        if (this->random.fraction() < this->loss || !this->connected(from, to))
            return;
        const auto span = static_cast<std::uint64_t>(this->longest_delay.count());
        const helpers::duration delay(static_cast<std::int64_t>(1 + this->random.below(span)));
        // In order for each pair of routers, as the transport delivers.
        auto& arrival = this->last_arrival[{from, to}];
        arrival = std::max(arrival, this->loop.time().now() + delay);
        this->loop.schedule(arrival - this->loop.time().now(), [this, to, content] {
            const auto found = this->routers.find(to);
            if (found == this->routers.end())
                return;
            // A paused process reads its sockets when it resumes.
            auto& receiver = *found->second;
            receiver.loop.post([&receiver, content] { receiver.manager.on_message(content); });
        });
    }
};

} // namespace samphirespool::tests
