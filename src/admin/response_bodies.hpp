// JSON bodies of the responses of the administration API.
#pragma once

#include "admin/status_provider.hpp"
#include "config/configuration_service.hpp"

#include <span>
#include <string>
#include <string_view>

namespace samphirespool::admin {

// Selects a page of a list that is sorted by name.
struct page {
    // The page starts after this name; empty for the first page.
    std::string_view after;
    // Most entries on the page.
    std::size_t limit = 0;
};

struct change_response {
    int http_status = 0;
    std::string body;
};

// Name of the status in responses and in the audit trail.
std::string_view to_string(config::change_status status);

// {"status","version","request_id","message","faults":["..."]}
change_response make_change_response(const config::change_result& result,
                                     std::string_view request_id);

// The configuration may be null; its fields are null then.
std::string status_json(const router_status& status,
                        const config::fleet_configuration* configuration);
std::string members_json(std::span<const member_status> members);
// {"targets":[...]}; an empty service means all.
std::string targets_json(std::span<const target_status> targets, std::string_view service);
// {"version","organisations":[...],"next"}; next is the `after` of the following page, null at the
// end.
std::string organisations_json(const config::fleet_configuration& configuration,
                               const page& requested);
std::string services_json(const config::fleet_configuration& configuration);
std::string presets_json(const config::fleet_configuration& configuration);
// {"version","name"}
std::string preset_in_force_json(const config::fleet_configuration& configuration);
// {"version","data_centres":[{"name","state","since"}],"vms":[...]}
std::string marks_json(const config::fleet_configuration& configuration);
// {"version","name","state","since"}
std::string mark_json(std::string_view name, const config::mark& mark,
                      config::configuration_version version);
// {"valid","faults":["..."]}
std::string check_json(std::span<const kernel::error> faults);

} // namespace samphirespool::admin
