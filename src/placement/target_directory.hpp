// The targets of each service as placement sees them, merged from what the router learns from
// elsewhere: the platform's list of VMs (which lags), the operators' marks, and ejections. Pure.
//
// A target is not eligible as soon as any source takes it out: its VM leaves by the list or by a
// mark, its data centre leaves by a mark, or it is ejected. A VM or data centre marked `returning`
// regains its weight in slices, counted from the wall time of the mark, so that all routers agree
// on the slice without messages and its chats move back a slice at a time.
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
    // From the mark `returning` to full weight.
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

    // Applies weight changes that have fallen due; call it at next_change().
    void advance(helpers::wall_milliseconds now);

    // When a weight changes next, if nothing else does.
    std::optional<helpers::wall_milliseconds> next_change() const;

    // Ordered by id. Empty for an unknown service. Valid until the next call that changes.
    std::span<const target_view> targets(helpers::service_id service) const;

    // Null if no service has the target. Valid until the next call that changes.
    const target_view* find(helpers::target_id target) const;

    // The service of the target; nothing if unknown.
    std::optional<helpers::service_id> service_of(helpers::target_id target) const;

    std::vector<helpers::service_id> services() const;

    // Grows with every change of any view, which is when strategies must be rebuilt.
    std::uint64_t generation() const { return this->current_generation; }

private:
    struct position {
        helpers::service_id service;
        std::size_t index = 0;
    };

    struct standing {
        bool eligible = true;
        double weight = 1;
    };

    void rebuild(helpers::wall_milliseconds now);
    standing standing_of(const config::mark* mark, helpers::wall_milliseconds now) const;
    standing standing_of(const helpers::vm_entry& vm, helpers::wall_milliseconds now) const;
    void add(const helpers::vm_entry& vm, const helpers::target_entry& target, standing state);

    using view_table = std::map<helpers::service_id, std::vector<target_view>>;

    return_schedule schedule;
    std::vector<helpers::vm_entry> vms;
    std::map<std::string, config::mark, std::less<>> data_centre_marks;
    std::map<std::string, config::mark, std::less<>> vm_marks;
    std::unordered_set<helpers::target_id> ejected;
    // Invariant: each vector is ordered by id, without duplicates.
    view_table views;
    // Invariant: names exactly the members of `views`.
    std::unordered_map<helpers::target_id, position> positions;
    helpers::wall_milliseconds last_rebuild = 0;
    std::uint64_t current_generation = 0;
};

} // namespace samphirespool::placement
