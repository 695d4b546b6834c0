// What a router does while it is a relay of its region: it holds the watch on the root, polls the
// list of VMs, and carries provisional marks to the store. Store calls are constant in the number
// of routers, because only the relays make them.
#pragma once

#include "config/configuration_manager.hpp"
#include "config/configuration_network.hpp"
#include "config/vm_view.hpp"
#include "kernel/loop.hpp"
#include "kernel/random.hpp"
#include "store/change_writer.hpp"
#include "store/object_store.hpp"
#include "store/state_loader.hpp"

#include <functional>
#include <memory>

namespace samphirespool::store {

struct relay_settings {
    helpers::duration max_watch = std::chrono::seconds(20);
    helpers::duration min_retry = std::chrono::milliseconds(250);
    helpers::duration max_retry = std::chrono::seconds(2);
    helpers::duration min_poll = std::chrono::seconds(1);
    helpers::duration max_poll = std::chrono::seconds(60);
    // A relay spends at most this on polling the list of VMs.
    double poll_bytes_per_second = 6000;
};

class configuration_relay {
public:
    configuration_relay(kernel::loop& loop, kernel::random_source& random, object_store& objects,
                        const config::peer_directory& directory,
                        config::configuration_manager& manager, state_loader& loader,
                        change_writer& writer, const relay_settings& settings);
    ~configuration_relay();
    configuration_relay(const configuration_relay&) = delete;
    configuration_relay& operator=(const configuration_relay&) = delete;

    // Takes up or lays down the relay's work as the directory says. To be called about once a
    // second.
    void tick();
    bool is_active() const { return this->active; }

    // Runs with each list of VMs that the platform gave.
    void on_vms(std::function<void(const std::vector<helpers::vm_entry>&)> listener);

private:
    void watch();
    void take_watch(read_result result);
    void watch_later();
    void poll_vms();
    void settle_marks();
    helpers::duration poll_interval(const std::vector<helpers::vm_entry>& vms) const;

    kernel::loop& loop;
    kernel::random_source& random;
    object_store& objects;
    const config::peer_directory& directory;
    config::configuration_manager& manager;
    state_loader& loader;
    change_writer& writer;
    store_source source;
    relay_settings settings;
    std::function<void(const std::vector<helpers::vm_entry>&)> vms_listener;
    bool active = false;
    bool is_watching = false;
    bool is_polling = false;
    bool is_settling = false;
    // Version of the root object up to which the watch has seen.
    object_version seen = absent;
    helpers::duration retry;
    helpers::time_point next_poll{};
    // Expires with this object, so that late answers find out.
    std::shared_ptr<bool> alive;
};

} // namespace samphirespool::store
