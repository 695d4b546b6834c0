// Interface through which a router reads and changes the fleet's configuration.
#pragma once

#include "config/fleet_configuration.hpp"
#include "helpers/vm_entry.hpp"
#include "kernel/error.hpp"

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace samphirespool::config {

struct use_preset {
    std::string name;
};

struct mark_data_centre {
    std::string name;
    mark_state state = mark_state::leaving;
};

struct mark_vm {
    std::string name;
    mark_state state = mark_state::leaving;
};

struct put_organisation {
    organisation_definition definition;
};

struct remove_organisation {
    std::string name;
};

struct put_service {
    service_definition definition;
};

struct put_preset {
    preset_definition definition;
};

// Replaces services, organisations, presets and the preset in force atomically; marks are kept.
struct replace_all {
    fleet_configuration replacement;
};

using change_body = std::variant<use_preset, mark_data_centre, mark_vm, put_organisation,
                                 remove_organisation, put_service, put_preset, replace_all>;

struct change_request {
    change_body body;
    // The change fails with `conflict` unless this is the accepted version; 0 accepts any version.
    configuration_version if_version = 0;
    // Identifies the change; a retry with the same id gets the result of the first attempt.
    std::string request_id;
    // Name of the operator, for the audit log.
    std::string operator_name;
};

enum class change_status : std::uint8_t {
    // Durable: written to the store.
    accepted,
    // A leave mark that is in effect on the fleet although the store could not be reached. It is
    // lost if every router restarts before the store is reachable again.
    in_effect_not_durable,
    conflict,
    invalid,
    // The store rejected the change or could not be reached: the change is not in force.
    not_accepted,
    // The reply of the store was lost and the outcome could not be read back before the deadline.
    // The caller may retry with the same id.
    unknown,
};

struct change_result {
    change_status status = change_status::unknown;
    configuration_version version = 0;
    // For `invalid`: all faults of the change.
    std::vector<kernel::error> faults;
};

class configuration_service {
public:
    virtual ~configuration_service() = default;

    // The configuration in force in this router. Null until the first version was received.
    // Invariant: its version never decreases.
    virtual std::shared_ptr<const fleet_configuration> current() const = 0;
    virtual const std::vector<helpers::vm_entry>& vms() const = 0;

    // Adds a listener that runs after each change of current() or vms().
    virtual void on_change(std::function<void()> listener) = 0;
    // Submits a change. The callback receives the outcome.
    virtual void change(change_request request, std::function<void(change_result)> callback) = 0;
};

} // namespace samphirespool::config
