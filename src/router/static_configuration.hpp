// A configuration that lives in this process alone: read from a file at the start, changed only
// here. For tests, and for a single router without a platform.
#pragma once

#include "config/configuration_service.hpp"
#include "kernel/clock.hpp"

#include <memory>
#include <vector>

namespace samphirespool::router {

class static_configuration final : public config::configuration_service {
public:
    static_configuration(const kernel::clock& time, config::fleet_configuration initial,
                         std::vector<helpers::vm_entry> vms);

    std::shared_ptr<const config::fleet_configuration> current() const override {
        return this->in_force;
    }
    const std::vector<helpers::vm_entry>& vms() const override { return this->listed; }
    void on_change(std::function<void()> listener) override;
    void change(config::change_request wanted,
                std::function<void(config::change_result)> done) override;
    void set_vms(std::vector<helpers::vm_entry> vms);

private:
    void notify();

    const kernel::clock& time;
    std::shared_ptr<const config::fleet_configuration> in_force;
    std::vector<helpers::vm_entry> listed;
    std::vector<std::function<void()>> listeners;
};

} // namespace samphirespool::router
