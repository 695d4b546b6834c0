// Object stores in memory for tests: one shared table, and per client a view of it with scripted
// and seeded faults. Answers come later, by the loop.
#pragma once

#include "kernel/loop.hpp"
#include "kernel/random.hpp"
#include "standins/platform/object_table.hpp"
#include "store/object_store.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace samphirespool::tests {

enum class write_outcome : std::uint8_t {
    confirmed,
    rejected,
    lost_before_effect,
    lost_after_effect,
    // The answer is lost and the call takes effect a while later, if its condition still holds.
    lost_and_late,
};

struct store_faults {
    bool down = false;
    // Fates of the next writes to keys with the prefix, oldest first.
    std::map<std::string, std::deque<write_outcome>> scripted;
    // Share of writes with a random fate other than `answered`.
    double write_fault_share = 0;
    double read_fault_share = 0;
    helpers::duration delay = std::chrono::milliseconds(2);
};

// What all clients of one store share.
struct shared_store {
    explicit shared_store(kernel::loop& loop, std::uint64_t seed = 1) : loop(loop), random(seed) {}

    kernel::loop& loop;
    kernel::random_source random;
    standins::object_table objects;
    store_faults faults;
    std::vector<helpers::vm_entry> vms;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    struct watcher {
        std::string key;
        store::object_version after;
        std::function<void(store::read_result)> done;
        kernel::timer_id timer;
    };
    std::list<watcher> watchers;
    // Sees every update that took effect, in order.
    std::function<void(std::string_view key, const std::string& value)> on_update;

    store::read_result find(std::string_view key) const {
        const auto* found = this->objects.find(key);
        if (found == nullptr)
            return {store::store_status::not_found, {}};
        return {store::store_status::ok, {std::string(key), found->version, found->value}};
    }

    void wake(std::string_view key) {
        for (auto at = this->watchers.begin(); at != this->watchers.end();) {
            const auto each = at++;
            if (each->key != key || this->find(key).entry.version <= each->after)
                continue;
            this->loop.cancel(each->timer);
            this->loop.schedule(this->faults.delay,
                                [done = each->done, result = this->find(key)] { done(result); });
            this->watchers.erase(each);
        }
    }

    void set_down(bool down) {
        this->faults.down = down;
        auto open = std::exchange(this->watchers, {});
        for (const auto& each : open) {
            this->loop.cancel(each.timer);
            this->loop.post([done = each.done] { done({store::store_status::rejected, {}}); });
        }
    }
};

class fake_object_store final : public store::object_store {
public:
    explicit fake_object_store(shared_store& shared) : shared(shared) {}

    // Whether only this client cannot reach the store.
    void set_cut_off(bool wanted) { *this->cut = wanted; }
    bool is_cut_off() const { return *this->cut; }

    void read(std::string_view key, std::function<void(store::read_result)> done) override {
        ++this->shared.reads;
        this->later([&shared = this->shared, cut = this->cut, key = std::string(key),
                     done = std::move(done)] {
            const auto fails =
                is_down(shared, *cut) || shared.random.fraction() < shared.faults.read_fault_share;
            done(fails ? store::read_result{store::store_status::rejected, {}} : shared.find(key));
        });
    }

    void write(std::string_view key, store::object_version expected, std::string value,
               std::function<void(store::write_result)> done) override {
        ++this->shared.writes;
        this->update(key, std::move(done),
                     [&shared = this->shared, expected, key = std::string(key), value] {
                         const auto result = shared.objects.put(key, expected, value);
                         if (result.status == standins::update_status::ok)
                             shared.wake(key);
                         if (result.status == standins::update_status::ok && shared.on_update)
                             shared.on_update(key, value);
                         return result;
                     });
    }

    void remove(std::string_view key, store::object_version expected,
                std::function<void(store::write_result)> done) override {
        this->update(key, std::move(done),
                     [&shared = this->shared, expected, key = std::string(key)] {
                         return shared.objects.remove(key, expected);
                     });
    }

    void list(std::string_view prefix, std::function<void(store::list_result)> done) override {
        this->later([&shared = this->shared, cut = this->cut, prefix = std::string(prefix),
                     done = std::move(done)] {
            if (is_down(shared, *cut)) {
                done({store::store_status::rejected, {}});
                return;
            }
            store::list_result result{store::store_status::ok, {}};
            shared.objects.visit(prefix, [&result](const auto& key, const auto& found) {
                result.objects.push_back({key, found.version, ""});
            });
            done(std::move(result));
        });
    }

    void watch(std::string_view key, store::object_version after, helpers::duration max_wait,
               std::function<void(store::read_result)> done) override {
        ++this->shared.watches;
        if (is_down(this->shared, *this->cut)) {
            this->later([done = std::move(done)] { done({store::store_status::rejected, {}}); });
            return;
        }
        if (this->shared.find(key).entry.version > after) {
            this->later(
                [result = this->shared.find(key), done = std::move(done)] { done(result); });
            return;
        }
        auto& open = this->shared.watchers;
        const auto added = open.insert(open.end(), {std::string(key), after, std::move(done), 0});
        added->timer = this->shared.loop.schedule(max_wait, [&open, added] {
            const auto finish = added->done;
            open.erase(added);
            finish({store::store_status::not_found, {}});
        });
    }

    void list_vms(std::function<void(store::vm_list_result)> done) override {
        this->later([&shared = this->shared, cut = this->cut, done = std::move(done)] {
            if (is_down(shared, *cut))
                done({store::store_status::rejected, {}});
            else
                done({store::store_status::ok, shared.vms});
        });
    }

private:
    // A call in flight outlives its client, as a request does that is already on the wire.
    static bool is_down(const shared_store& shared, bool is_cut) {
        return is_cut || shared.faults.down;
    }

    void later(kernel::task work) {
        this->shared.loop.schedule(this->shared.faults.delay, std::move(work));
    }

    write_outcome next_outcome(std::string_view key) {
        for (auto& [prefix, outcomes] : this->shared.faults.scripted) {
            if (!key.starts_with(prefix) || outcomes.empty())
                continue;
            const auto result = outcomes.front();
            outcomes.pop_front();
            return result;
        }
        if (is_down(this->shared, *this->cut))
            return write_outcome::rejected;
        if (this->shared.random.fraction() >= this->shared.faults.write_fault_share)
            return write_outcome::confirmed;
        return static_cast<write_outcome>(1 + this->shared.random.below(4));
    }

    void update(std::string_view key, std::function<void(store::write_result)> done,
                std::function<standins::update_result()> apply) {
        const auto outcome = this->next_outcome(key);
        this->later(
            [&shared = this->shared, outcome, done = std::move(done), apply = std::move(apply)] {
                if (outcome == write_outcome::rejected) {
                    done({store::store_status::rejected, store::absent});
                    return;
                }
                if (outcome == write_outcome::lost_after_effect)
                    apply();
                if (outcome == write_outcome::lost_and_late)
                    shared.loop.schedule(std::chrono::milliseconds(300), [apply] { apply(); });
                if (outcome != write_outcome::confirmed) {
                    done({store::store_status::unknown, store::absent});
                    return;
                }
                done(to_write_result(apply()));
            });
    }

    static store::write_result to_write_result(const standins::update_result& from) {
        if (from.status == standins::update_status::conflict)
            return {store::store_status::conflict, from.version};
        if (from.status == standins::update_status::not_found)
            return {store::store_status::not_found, store::absent};
        return {store::store_status::ok, from.version};
    }

    shared_store& shared;
    std::shared_ptr<bool> cut = std::make_shared<bool>(false);
};

} // namespace samphirespool::tests
