// Interface of the fleet's configuration as one router sees and changes it.
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

// Replaces services, organisations, presets and the preset in force as one; marks stay.
struct replace_all {
    fleet_configuration wanted;
};

using change_body = std::variant<use_preset, mark_data_centre, mark_vm, put_organisation,
                                 remove_organisation, put_service, put_preset, replace_all>;

struct change_request {
    change_body body;
    // The change is refused with a conflict unless this is the accepted version; 0 means any.
    configuration_version if_version = 0;
    // Names the change; a repeat with the same id is answered as the first one was.
    std::string request_id;
    // Who asked, for the audit trail.
    std::string operator_name;
};

enum class change_status : std::uint8_t {
    // Durable: accepted by the store.
    accepted,
    // A leave mark that this fleet obeys at once although the store could not be reached; it is
    // lost if every router restarts before the store returns.
    in_effect_not_durable,
    conflict,
    invalid,
    // The store refused or could not be reached: the change is not in force.
    not_accepted,
    // The answer of the store was lost and could not be read back in time; repeat with the same id.
    unknown,
};

struct change_result {
    change_status status = change_status::unknown;
    configuration_version version = 0;
    // For `invalid`: every fault found.
    std::vector<kernel::error> faults;
};

class configuration_service {
public:
    virtual ~configuration_service() = default;

    // The configuration in force here. Null until the first one was learnt. Invariant: its version
    // never decreases.
    virtual std::shared_ptr<const fleet_configuration> current() const = 0;
    virtual const std::vector<helpers::vm_entry>& vms() const = 0;

    // Runs after current() or vms() changed.
    virtual void on_change(std::function<void()> listener) = 0;
    virtual void change(change_request wanted, std::function<void(change_result)> done) = 0;
};

} // namespace samphirespool::config
