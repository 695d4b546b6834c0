// The tasks of a router while it is a relay of its region: it watches the root in the store, polls
// the list of VMs, and submits provisional marks to the store. Only relays make these calls, so
// their number does not grow with the number of routers.
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
    // Maximum duration of one watch call.
    helpers::duration max_watch = std::chrono::seconds(20);
    // Delay between failed watches, before jitter; doubles from the minimum to the maximum.
    helpers::duration min_retry = std::chrono::milliseconds(250);
    helpers::duration max_retry = std::chrono::seconds(2);
    // Bounds on the interval between polls of the list of VMs.
    helpers::duration min_poll = std::chrono::seconds(1);
    helpers::duration max_poll = std::chrono::seconds(60);
    // Bandwidth for polling the list of VMs; sets the poll interval within the bounds above.
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

    // Checks in the directory whether this router is a relay, and starts the relay's tasks that are
    // due. Called every configuration_store_settings::tick.
    void tick();
    bool is_active() const { return this->active; }

    // Sets the listener for each list of VMs read from the platform.
    void on_vms(std::function<void(const std::vector<helpers::vm_entry>&)> listener);

private:
    void watch();
    void on_watch_result(read_result result);
    void schedule_watch();
    void poll_vms();
    void submit_provisional_mark();
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
    bool is_submitting_mark = false;
    // Version of the root object that the watch loaded last.
    object_version seen_version = absent;
    helpers::duration retry_delay;
    helpers::time_point next_poll{};
    // Expires with this object; callbacks check it through a weak pointer.
    std::shared_ptr<bool> alive;
};

} // namespace samphirespool::store
