// Notices members of a hub's group that are gone for good. Their entries keep a share of the
// fleet's allowances, and nothing else removes them.
#pragma once

#include "exchange/hub_order.hpp"
#include "helpers/time.hpp"

#include <optional>
#include <string>
#include <unordered_map>

namespace samphirespool::exchange {

struct absence_timing {
    // Longer than machines take to restart; members that were only cut off register again.
    helpers::duration absence_timeout = std::chrono::seconds(60);
    // A new hub hears from all that live within a few reports.
    helpers::duration min_hub_time = std::chrono::seconds(5);
    // Between two removals: lists that differ by one member are within the allowances' reserve.
    helpers::duration removal_interval = std::chrono::seconds(10);
};

class absence_detector {
public:
    explicit absence_detector(const absence_timing& timing) : timing(timing) {}

    // Those that report to the hub of the group.
    void set_members(const member_group& group, helpers::time_point now);
    void on_report(const std::string& name, helpers::time_point now);

    // Told at least once a second whether this gateway is the hub.
    void set_is_hub(bool is_hub, helpers::time_point now);

    // A member that is to be removed, if there is one now. A hub that hears from less than half of
    // its group is more likely cut off itself.
    std::optional<std::string> pop_absent_member(const std::string& self, helpers::time_point now);

private:
    bool has_reports_from_half(const std::string& self, helpers::time_point now) const;

    absence_timing timing;
    // Invariant: exactly the members of the group.
    std::unordered_map<std::string, helpers::time_point> last_report_at;
    std::optional<helpers::time_point> hub_since;
    helpers::time_point next_removal_at{};
};

} // namespace samphirespool::exchange
