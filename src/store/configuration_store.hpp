// The configuration service of one router. The root object in the store defines the accepted
// version; relays and peers replicate it. A single router works without peers or network.
#pragma once

#include "config/configuration_manager.hpp"
#include "config/configuration_network.hpp"
#include "config/configuration_service.hpp"
#include "config/vm_view.hpp"
#include "kernel/event.hpp"
#include "kernel/loop.hpp"
#include "kernel/random.hpp"
#include "store/change_writer.hpp"
#include "store/chunk_collector.hpp"
#include "store/configuration_peers.hpp"
#include "store/configuration_relay.hpp"
#include "store/object_store.hpp"
#include "store/state_loader.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace samphirespool::store {

struct configuration_store_settings {
    change_writer_settings writer;
    relay_settings relay;
    peers_settings peers;
    chunk_collector_settings collector;
    helpers::duration tick = std::chrono::milliseconds(250);
    // Time that a starting router waits for its peers before it loads all chunks from the store.
    helpers::duration peer_timeout = std::chrono::milliseconds(1500);
    // Time that a starting router waits for the store before it accepts the version of its peers.
    helpers::duration store_timeout = std::chrono::milliseconds(2500);
};

class configuration_store final : public config::configuration_service {
public:
    configuration_store(kernel::loop& loop, kernel::random_source& random,
                        kernel::event_sink& events, object_store& objects,
                        config::configuration_network& network,
                        const config::peer_directory& directory,
                        const configuration_store_settings& settings);
    ~configuration_store() override;
    configuration_store(const configuration_store&) = delete;
    configuration_store& operator=(const configuration_store&) = delete;

    // Starts loading the first version, and all periodic tasks. Call once.
    void start();

    std::shared_ptr<const config::fleet_configuration> current() const override;
    const std::vector<helpers::vm_entry>& vms() const override { return this->vm_list.vms(); }
    void on_change(std::function<void()> listener) override;
    void change(config::change_request request,
                std::function<void(config::change_result)> callback) override;

private:
    void tick();
    void load_first_version();
    void load_from_store();
    bool may_load_from_store() const;
    void become_ready();
    void on_configuration_changed();

    kernel::loop& loop;
    kernel::event_sink& events;
    object_store& objects;
    const config::peer_directory& directory;
    configuration_store_settings settings;
    config::configuration_manager manager;
    config::vm_view vm_list;
    state_loader loader;
    store_source source;
    change_writer writer;
    configuration_relay relay;
    configuration_peers peers;
    chunk_collector collector;
    std::vector<std::function<void()>> listeners;
    // False until the version in force is at least as high as that of the store or, while the store
    // cannot be reached, as that of every peer that has replied.
    bool is_ready = false;
    bool is_loading = false;
    // Whether the last load from the store failed.
    bool store_failed = false;
    helpers::time_point started_at{};
    kernel::timer_id timer = 0;
};

} // namespace samphirespool::store
