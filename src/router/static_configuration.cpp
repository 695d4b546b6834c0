// Applies changes at once; nothing can refuse them but their own faults and a stale version.
#include "router/static_configuration.hpp"

#include "config/changes.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::router {

static_configuration::static_configuration(const kernel::clock& time,
                                           config::fleet_configuration initial,
                                           std::vector<helpers::vm_entry> vms)
    : time(time), listed(std::move(vms)) {
    initial.version = std::max<config::configuration_version>(initial.version, 1);
    this->in_force = std::make_shared<const config::fleet_configuration>(std::move(initial));
}

void static_configuration::on_change(std::function<void()> listener) {
    this->listeners.push_back(std::move(listener));
}

void static_configuration::change(config::change_request wanted,
                                  std::function<void(config::change_result)> done) {
    const auto version = this->in_force->version;
    if (wanted.if_version != 0 && wanted.if_version != version) {
        done({config::change_status::conflict, version, {}});
        return;
    }
    auto applied = config::apply(*this->in_force, wanted.body, this->time.wall());
    if (!applied.changed) {
        done({config::change_status::invalid, version, std::move(applied.faults)});
        return;
    }
    applied.changed->version = version + 1;
    this->in_force =
        std::make_shared<const config::fleet_configuration>(std::move(*applied.changed));
    this->notify();
    done({config::change_status::accepted, version + 1, {}});
}

void static_configuration::set_vms(std::vector<helpers::vm_entry> vms) {
    this->listed = std::move(vms);
    this->notify();
}

void static_configuration::notify() {
    for (const auto& listener : this->listeners)
        listener();
}

} // namespace samphirespool::router
