// In-memory object store for tests: one shared table of objects, and one client for each router,
// with scripted and random faults. Callbacks run later, from the loop.
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
    // The response is lost and the call takes effect 300 ms later, if its condition still holds.
    lost_and_late,
};

struct store_faults {
    bool down = false;
    // Outcomes of the next writes to keys with the prefix, in order.
    std::map<std::string, std::deque<write_outcome>> scripted;
    // Share of writes with a random outcome other than `confirmed`.
    double write_fault_share = 0;
    double read_fault_share = 0;
    helpers::duration delay = std::chrono::milliseconds(2);
};

// State that all clients of one store share.
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
        std::function<void(store::read_result)> callback;
        kernel::timer_id timer;
    };
    std::list<watcher> watchers;
    // Runs for every update that took effect, in order.
    std::function<void(std::string_view key, const std::string& value)> on_update;

    store::read_result find(std::string_view key) const {
        const auto* found = this->objects.find(key);
        if (found == nullptr)
            return {store::store_status::not_found, {}};
        return {store::store_status::ok, {std::string(key), found->version, found->value}};
    }

    // Completes the watches on the key that wait for an older version.
    void notify_watchers(std::string_view key) {
        for (auto it = this->watchers.begin(); it != this->watchers.end();) {
            const auto watch = it++;
            if (watch->key != key || this->find(key).entry.version <= watch->after)
                continue;
            this->loop.cancel(watch->timer);
            this->loop.schedule(
                this->faults.delay,
                [callback = watch->callback, result = this->find(key)] { callback(result); });
            this->watchers.erase(watch);
        }
    }

    void set_down(bool down) {
        this->faults.down = down;
        auto cancelled = std::exchange(this->watchers, {});
        for (const auto& watch : cancelled) {
            this->loop.cancel(watch.timer);
            this->loop.post([callback = watch.callback] {
                callback({store::store_status::rejected, {}});
            });
        }
    }
};

class fake_object_store final : public store::object_store {
public:
    explicit fake_object_store(shared_store& shared) : shared(shared) {}

    // Whether only this client cannot reach the store.
    void set_cut_off(bool is_cut_off) { *this->cut_off = is_cut_off; }
    bool is_cut_off() const { return *this->cut_off; }

    void read(std::string_view key, std::function<void(store::read_result)> callback) override {
        ++this->shared.reads;
        this->schedule([&shared = this->shared, cut_off = this->cut_off, key = std::string(key),
                        callback = std::move(callback)] {
            const auto fails = is_down(shared, *cut_off) ||
                               shared.random.fraction() < shared.faults.read_fault_share;
            callback(fails ? store::read_result{store::store_status::rejected, {}}
                           : shared.find(key));
        });
    }

    void write(std::string_view key, store::object_version expected, std::string value,
               std::function<void(store::write_result)> callback) override {
        ++this->shared.writes;
        this->update(key, std::move(callback),
                     [&shared = this->shared, expected, key = std::string(key), value] {
                         const auto result = shared.objects.put(key, expected, value);
                         if (result.status == standins::update_status::ok)
                             shared.notify_watchers(key);
                         if (result.status == standins::update_status::ok && shared.on_update)
                             shared.on_update(key, value);
                         return result;
                     });
    }

    void remove(std::string_view key, store::object_version expected,
                std::function<void(store::write_result)> callback) override {
        this->update(key, std::move(callback),
                     [&shared = this->shared, expected, key = std::string(key)] {
                         return shared.objects.remove(key, expected);
                     });
    }

    void list(std::string_view prefix, std::function<void(store::list_result)> callback) override {
        this->schedule([&shared = this->shared, cut_off = this->cut_off,
                        prefix = std::string(prefix), callback = std::move(callback)] {
            if (is_down(shared, *cut_off)) {
                callback({store::store_status::rejected, {}});
                return;
            }
            store::list_result result{store::store_status::ok, {}};
            shared.objects.visit(prefix, [&result](const auto& key, const auto& found) {
                result.objects.push_back({key, found.version, ""});
            });
            callback(std::move(result));
        });
    }

    void watch(std::string_view key, store::object_version after, helpers::duration max_wait,
               std::function<void(store::read_result)> callback) override {
        ++this->shared.watches;
        if (is_down(this->shared, *this->cut_off)) {
            this->schedule([callback = std::move(callback)] {
                callback({store::store_status::rejected, {}});
            });
            return;
        }
        if (this->shared.find(key).entry.version > after) {
            this->schedule([result = this->shared.find(key), callback = std::move(callback)] {
                callback(result);
            });
            return;
        }
        auto& watchers = this->shared.watchers;
        const auto added =
            watchers.insert(watchers.end(), {std::string(key), after, std::move(callback), 0});
        added->timer = this->shared.loop.schedule(max_wait, [&watchers, added] {
            const auto finish = added->callback;
            watchers.erase(added);
            finish({store::store_status::not_found, {}});
        });
    }

    void list_vms(std::function<void(store::vm_list_result)> callback) override {
        this->schedule(
            [&shared = this->shared, cut_off = this->cut_off, callback = std::move(callback)] {
                if (is_down(shared, *cut_off))
                    callback({store::store_status::rejected, {}});
                else
                    callback({store::store_status::ok, shared.vms});
            });
    }

private:
    // Static because a call in flight may outlive its client, like a request that was already sent.
    static bool is_down(const shared_store& shared, bool is_cut_off) {
        return is_cut_off || shared.faults.down;
    }

    void schedule(kernel::task work) {
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
        if (is_down(this->shared, *this->cut_off))
            return write_outcome::rejected;
        if (this->shared.random.fraction() >= this->shared.faults.write_fault_share)
            return write_outcome::confirmed;
        return static_cast<write_outcome>(1 + this->shared.random.below(4));
    }

    void update(std::string_view key, std::function<void(store::write_result)> callback,
                std::function<standins::update_result()> apply) {
        const auto outcome = this->next_outcome(key);
        this->schedule([&shared = this->shared, outcome, callback = std::move(callback),
                        apply = std::move(apply)] {
            if (outcome == write_outcome::rejected) {
                callback({store::store_status::rejected, store::absent});
                return;
            }
            if (outcome == write_outcome::lost_after_effect)
                apply();
            if (outcome == write_outcome::lost_and_late)
                shared.loop.schedule(std::chrono::milliseconds(300), [apply] { apply(); });
            if (outcome != write_outcome::confirmed) {
                callback({store::store_status::unknown, store::absent});
                return;
            }
            callback(to_write_result(apply()));
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
    std::shared_ptr<bool> cut_off = std::make_shared<bool>(false);
};

} // namespace samphirespool::tests
