// The targets of each service as placement sees them, merged from the platform's list of VMs (which
// lags), the operators' marks, and ejections. Reads no clock.
//
// A target is ineligible as soon as any source excludes it: its VM is leaving by the list or by a
// mark, its data centre is leaving by a mark, or it is ejected. A VM or data centre marked
// `returning` regains its weight in slices, computed from the wall time of the mark, so that all
// routers agree on the slice without messages and its chats move back one slice at a time.
#pragma once

#include "config/fleet_configuration.hpp"
#include "helpers/ids.hpp"
#include "helpers/time.hpp"
#include "helpers/vm_entry.hpp"
#include "placement/target_view.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace samphirespool::placement {

struct return_schedule {
    // Time from the mark `returning` to full weight.
    helpers::duration length = std::chrono::minutes(5);
    std::uint32_t slices = 10;
};

class target_directory {
public:
    explicit target_directory(return_schedule schedule = {}) : schedule(schedule) {}

    void set_vms(std::span<const helpers::vm_entry> vms, helpers::wall_milliseconds now);
    void set_marks(const config::fleet_configuration& configuration,
                   helpers::wall_milliseconds now);
    void set_ejected(std::unordered_set<helpers::target_id> targets,
                     helpers::wall_milliseconds now);

    // Applies the weight changes that are due; call it at next_change().
    void advance(helpers::wall_milliseconds now);

    // Returns when the next weight change by schedule is due.
    std::optional<helpers::wall_milliseconds> next_change() const;

    // Returns the targets of a service ordered by id; empty for an unknown service. Valid until the
    // next call of a non-const method.
    std::span<const target_view> targets(helpers::service_id service) const;

    // Returns null if no service has the target. Valid until the next call of a non-const method.
    const target_view* find(helpers::target_id target) const;

    // Returns the service of the target, or nothing if the target is unknown.
    std::optional<helpers::service_id> service_of(helpers::target_id target) const;

    std::vector<helpers::service_id> services() const;

    // Increases with every change of a view; strategies must then be rebuilt.
    std::uint64_t generation() const { return this->current_generation; }

private:
    struct position {
        helpers::service_id service;
        std::size_t index = 0;
    };

    // Effect of marks and of the VM list on a target.
    struct availability {
        bool eligible = true;
        double weight = 1;
    };

    void rebuild(helpers::wall_milliseconds now);
    availability availability_of(const config::mark* mark, helpers::wall_milliseconds now) const;
    availability availability_of(const helpers::vm_entry& vm, helpers::wall_milliseconds now) const;
    void add(const helpers::vm_entry& vm, const helpers::target_entry& target, availability state);

    using view_table = std::map<helpers::service_id, std::vector<target_view>>;

    return_schedule schedule;
    std::vector<helpers::vm_entry> vms;
    std::map<std::string, config::mark, std::less<>> data_centre_marks;
    std::map<std::string, config::mark, std::less<>> vm_marks;
    std::unordered_set<helpers::target_id> ejected;
    // Invariant: each vector is ordered by id, without duplicates.
    view_table views;
    // Invariant: contains exactly the targets in `views`.
    std::unordered_map<helpers::target_id, position> positions;
    helpers::wall_milliseconds last_rebuild = 0;
    std::uint64_t current_generation = 0;
};

} // namespace samphirespool::placement
