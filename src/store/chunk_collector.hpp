// Deletes chunk objects of the configuration that no root names any more. One router of the fleet
// does it; two at once do no harm.
#pragma once

#include "config/configuration_manager.hpp"
#include "kernel/loop.hpp"
#include "store/object_store.hpp"
#include "store/orphan_tracker.hpp"

#include <memory>

namespace samphirespool::store {

struct chunk_collector_settings {
    helpers::duration interval = std::chrono::minutes(10);
    helpers::duration grace = std::chrono::minutes(10);
    // Deletions after one listing.
    std::size_t max_deletions = 128;
};

class chunk_collector {
public:
    chunk_collector(kernel::loop& loop, object_store& objects,
                    const chunk_collector_settings& settings);
    ~chunk_collector();
    chunk_collector(const chunk_collector&) = delete;
    chunk_collector& operator=(const chunk_collector&) = delete;

    // To be called regularly with whether this router is the one that collects.
    void tick(bool is_collector);

private:
    void take_list(const list_result& listed);
    void take_root(const std::vector<object>& listed, const read_result& root);

    kernel::loop& loop;
    object_store& objects;
    chunk_collector_settings settings;
    orphan_tracker tracker;
    helpers::time_point next_run{};
    bool is_running = false;
    // Expires with this object, so that late answers find out.
    std::shared_ptr<bool> alive;
};

} // namespace samphirespool::store
