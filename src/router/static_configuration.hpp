// A configuration that is kept in this process only: passed in at the start and changed only
// through change() and set_vms(). For tests, and for a single router without a platform.
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
        return this->current_configuration;
    }
    const std::vector<helpers::vm_entry>& vms() const override { return this->current_vms; }
    void on_change(std::function<void()> listener) override;
    void change(config::change_request request,
                std::function<void(config::change_result)> callback) override;
    void set_vms(std::vector<helpers::vm_entry> vms);

private:
    void notify();

    const kernel::clock& time;
    std::shared_ptr<const config::fleet_configuration> current_configuration;
    std::vector<helpers::vm_entry> current_vms;
    std::vector<std::function<void()>> listeners;
};

} // namespace samphirespool::router
