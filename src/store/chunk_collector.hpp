// Deletes chunk objects of the configuration that the root no longer references. One router of the
// fleet runs it; if two run it at the same time, no harm is done.
#pragma once

#include "config/configuration_manager.hpp"
#include "kernel/loop.hpp"
#include "store/object_store.hpp"
#include "store/orphan_tracker.hpp"

#include <memory>

namespace samphirespool::store {

struct chunk_collector_settings {
    helpers::duration interval = std::chrono::minutes(10);
    // Minimum time between the first observation of an unreferenced chunk and its deletion.
    helpers::duration grace = std::chrono::minutes(10);
    // Maximum number of deletions after one listing.
    std::size_t max_deletions = 128;
};

class chunk_collector {
public:
    chunk_collector(kernel::loop& loop, object_store& objects,
                    const chunk_collector_settings& settings);
    ~chunk_collector();
    chunk_collector(const chunk_collector&) = delete;
    chunk_collector& operator=(const chunk_collector&) = delete;

    // Starts a run if one is due and this router is the collector. To be called regularly.
    void tick(bool is_collector);

private:
    void on_listed(const list_result& listed);
    void on_root(const std::vector<object>& listed, const read_result& root);

    kernel::loop& loop;
    object_store& objects;
    chunk_collector_settings settings;
    orphan_tracker tracker;
    helpers::time_point next_run{};
    bool is_running = false;
    // Expires with this object; callbacks of the store check it through a weak pointer.
    std::shared_ptr<bool> alive;
};

} // namespace samphirespool::store
