// Detects members of a hub's group that have stopped for good. Their entries still count for the
// division of fleet-wide budgets, and nothing else removes them.
#pragma once

#include "exchange/hub_order.hpp"
#include "helpers/time.hpp"

#include <optional>
#include <string>
#include <unordered_map>

namespace samphirespool::exchange {

struct absence_timing {
    // A member without reports for this long is absent. Longer than a machine takes to restart.
    // Members that were only disconnected register again.
    helpers::duration absence_timeout = std::chrono::seconds(60);
    // A gateway removes members only after it has been the hub for this long, which covers several
    // reports of each running member.
    helpers::duration min_hub_time = std::chrono::seconds(5);
    // Minimum time between two removals. The budgets tolerate member lists that differ by one.
    helpers::duration removal_interval = std::chrono::seconds(10);
};

class absence_detector {
public:
    explicit absence_detector(const absence_timing& timing) : timing(timing) {}

    // Sets the members of the group, which report to its hub.
    void set_members(const member_group& group, helpers::time_point now);
    // Records a report of a member.
    void on_report(const std::string& name, helpers::time_point now);

    // Called at least once a second with whether this gateway is the hub.
    void set_is_hub(bool is_hub, helpers::time_point now);

    // Returns a member that is to be removed now, if there is one, and starts the removal interval.
    // A hub that receives reports from less than half of its group removes no member, since it is
    // more likely disconnected itself.
    std::optional<std::string> pop_absent_member(const std::string& self, helpers::time_point now);

private:
    bool has_reports_from_half(const std::string& self, helpers::time_point now) const;

    absence_timing timing;
    // By name. Invariant: holds exactly the members of the group.
    std::unordered_map<std::string, helpers::time_point> last_report_at;
    std::optional<helpers::time_point> hub_since;
    helpers::time_point next_removal_at{};
};

} // namespace samphirespool::exchange
