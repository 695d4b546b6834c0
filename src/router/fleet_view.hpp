// The fleet as requests see it: the indexed configuration, and each service's targets ranked by its
// placement strategy. Rebuilt when the configuration service reports a change.
#pragma once

#include "config/configuration_service.hpp"
#include "kernel/loop.hpp"
#include "kernel/random.hpp"
#include "placement/placement_strategy.hpp"
#include "placement/target_directory.hpp"
#include "router/configuration_index.hpp"

#include <functional>
#include <memory>
#include <unordered_map>

namespace samphirespool::router {

class fleet_view {
public:
    fleet_view(kernel::loop& loop, kernel::random_source& random,
               config::configuration_service& configuration);
    ~fleet_view();
    fleet_view(const fleet_view&) = delete;
    fleet_view& operator=(const fleet_view&) = delete;

    // Null until the configuration service has a configuration.
    std::shared_ptr<const configuration_index> index() const { return this->current; }

    // Appends targets of the service, most preferred first.
    void rank(helpers::service_id service, const placement::placement_request& request,
              std::vector<helpers::target_id>& candidates);

    // Null if unknown. Valid until the next change.
    const placement::target_view* find(helpers::target_id target) const {
        return this->directory.find(target);
    }
    std::span<const placement::target_view> targets(helpers::service_id service) const {
        return this->directory.targets(service);
    }

    // The platform's list of VMs as last received.
    const std::vector<helpers::vm_entry>& vms() const { return this->configuration.vms(); }

    // Replaces the set of ejected targets, which are not eligible for new requests.
    void set_ejected(std::unordered_set<helpers::target_id> targets);

    // Adds a listener that runs after the configuration or the targets changed.
    void on_change(std::function<void()> listener) {
        this->listeners.push_back(std::move(listener));
    }

private:
    void refresh();
    void rebuild_strategies();
    void notify();
    void schedule_next_update();

    kernel::loop& loop;
    kernel::random_source& random;
    config::configuration_service& configuration;
    placement::target_directory directory;
    std::shared_ptr<const configuration_index> current;
    // Rebuilt with every change of the configuration or the directory.
    std::unordered_map<helpers::service_id, std::unique_ptr<placement::placement_strategy>>
        strategies;
    // Scratch space of rank().
    std::vector<std::size_t> ranked;
    std::vector<std::function<void()>> listeners;
    kernel::timer_id update_timer = 0;
};

} // namespace samphirespool::router
