// Several failure detectors over an in-memory network that loses and delays messages and can be
// partitioned.
#pragma once

#include "kernel/loop.hpp"
#include "membership/failure_detector.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace samphirespool::tests {

class fake_fleet {
public:
    struct node final : membership::message_outbox {
        node(fake_fleet& fleet, std::size_t index, std::uint64_t incarnation)
            : fleet(fleet),
              index(index),
              random(index * 7919 + incarnation),
              table(fleet.loop.time(), make_record(index, incarnation)),
              detector(fleet.loop.time(), this->random, *this, this->table, {address(0)}) {}

        void send(const helpers::endpoint& to, const membership::message& content) override {
            ++this->sent;
            this->max_updates = std::max(this->max_updates, content.updates.size());
            this->fleet.deliver(this->index, to, content);
        }

        fake_fleet& fleet;
        std::size_t index;
        kernel::random_source random;
        membership::member_table table;
        membership::failure_detector detector;
        std::size_t sent = 0;
        std::size_t max_updates = 0;
    };

    explicit fake_fleet(std::size_t size, std::uint64_t seed = 1) : random(seed) {
        for (std::size_t i = 0; i < size; ++i)
            this->start(i, 1);
        this->schedule_tick();
    }

    static helpers::endpoint address(std::size_t index) {
        return {"10.0.0.1", static_cast<std::uint16_t>(7000 + index)};
    }

    static membership::member_record make_record(std::size_t index, std::uint64_t incarnation) {
        membership::member_record record;
        record.name = "router-" + std::to_string(index);
        record.id = helpers::id_of<helpers::router_id>(record.name);
        record.address = address(index);
        record.region = "region";
        record.incarnation = helpers::incarnation{incarnation};
        return record;
    }

    void start(std::size_t index, std::uint64_t incarnation) {
        this->nodes[index] = std::make_unique<node>(*this, index, incarnation);
    }
    void stop(std::size_t index) { this->nodes.erase(index); }
    node& at(std::size_t index) { return *this->nodes.at(index); }
    void run(helpers::duration time) { this->loop.advance(time); }

    membership::member_health health(std::size_t seen_by, std::size_t index) {
        const auto* found = this->at(seen_by).table.find(make_record(index, 1).id);
        return found == nullptr ? membership::member_health::dead : found->record.health;
    }

    // Whether every running node sees exactly the running nodes as alive.
    bool all_agree() {
        for (auto& [index, running] : this->nodes) {
            if (running->table.live_count() != this->nodes.size())
                return false;
            for (auto& [other, unused] : this->nodes) {
                if (this->health(index, other) != membership::member_health::alive)
                    return false;
            }
        }
        return true;
    }

    kernel::manual_loop loop;
    kernel::random_source random;
    std::map<std::size_t, std::unique_ptr<node>> nodes;
    std::set<std::size_t> paused;
    double loss = 0;
    // Whether messages from the first node to the second are delivered.
    std::function<bool(std::size_t, std::size_t)> connected = [](auto, auto) { return true; };

private:
    void deliver(std::size_t from, const helpers::endpoint& to, const membership::message& sent) {
        const auto target = static_cast<std::size_t>(to.port - 7000);
        if (this->random.fraction() < this->loss || !this->connected(from, target))
            return;
        const auto delay = std::chrono::milliseconds(1 + this->random.below(5));
        this->loop.schedule(delay, [this, from, target, sent] {
            const auto found = this->nodes.find(target);
            if (found != this->nodes.end() && !this->paused.contains(target))
                found->second->detector.on_message(address(from), sent);
        });
    }

    void schedule_tick() {
        this->loop.schedule(std::chrono::milliseconds(50), [this] {
            for (auto& [index, running] : this->nodes) {
                if (!this->paused.contains(index))
                    running->detector.tick();
            }
            this->schedule_tick();
        });
    }
};

} // namespace samphirespool::tests
