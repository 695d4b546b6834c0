// Applies changes at once. They are rejected only if they are invalid or name a stale version.
#include "router/static_configuration.hpp"

#include "config/changes.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::router {

static_configuration::static_configuration(const kernel::clock& time,
                                           config::fleet_configuration initial,
                                           std::vector<helpers::vm_entry> vms)
    : time(time), current_vms(std::move(vms)) {
    initial.version = std::max<config::configuration_version>(initial.version, 1);
    this->current_configuration =
        std::make_shared<const config::fleet_configuration>(std::move(initial));
}

void static_configuration::on_change(std::function<void()> listener) {
    this->listeners.push_back(std::move(listener));
}

void static_configuration::change(config::change_request request,
                                  std::function<void(config::change_result)> callback) {
    const auto version = this->current_configuration->version;
    if (request.if_version != 0 && request.if_version != version) {
        callback({config::change_status::conflict, version, {}});
        return;
    }
    auto applied = config::apply(*this->current_configuration, request.body, this->time.wall());
    if (!applied.changed) {
        callback({config::change_status::invalid, version, std::move(applied.faults)});
        return;
    }
    applied.changed->version = version + 1;
    this->current_configuration =
        std::make_shared<const config::fleet_configuration>(std::move(*applied.changed));
    this->notify();
    callback({config::change_status::accepted, version + 1, {}});
}

void static_configuration::set_vms(std::vector<helpers::vm_entry> vms) {
    this->current_vms = std::move(vms);
    this->notify();
}

void static_configuration::notify() {
    for (const auto& listener : this->listeners)
        listener();
}

} // namespace samphirespool::router
