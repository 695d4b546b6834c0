// What requests need to know of the fleet right now: the indexed configuration, and each service's
// targets in the order of its placement strategy. Follows the configuration service.
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

    // Null until a configuration was learnt.
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

    // The platform's list of VMs as last learnt.
    const std::vector<helpers::vm_entry>& vms() const { return this->configuration.vms(); }

    void set_ejected(std::unordered_set<helpers::target_id> targets);

    // Runs after configuration or targets changed.
    void on_change(std::function<void()> listener) {
        this->listeners.push_back(std::move(listener));
    }

private:
    void refresh();
    void rebuild_strategies();
    void notify();
    void schedule_weight_change();

    kernel::loop& loop;
    kernel::random_source& random;
    config::configuration_service& configuration;
    placement::target_directory directory;
    std::shared_ptr<const configuration_index> current;
    // Invariant: built from the directory's generation `built`.
    std::unordered_map<helpers::service_id, std::unique_ptr<placement::placement_strategy>>
        strategies;
    std::vector<std::size_t> ranked;
    std::vector<std::function<void()>> listeners;
    kernel::timer_id weight_timer = 0;
};

} // namespace samphirespool::router
