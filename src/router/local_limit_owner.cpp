// Keeps the owner's limits as the configuration has them.
#include "router/local_limit_owner.hpp"

#include "router/limits_in_force.hpp"

namespace samphirespool::router {

local_limit_owner::local_limit_owner(kernel::loop& loop, fleet_view& fleet, turn_queue& turns)
    : loop(loop), fleet(fleet), turns(turns) {
    fleet.on_change([this] { this->refresh(); });
    turns.set_reports(this);
    this->refresh();
}

void local_limit_owner::refresh() {
    const auto index = this->fleet.index();
    if (index == nullptr)
        return;
    for (const auto& each : limits_in_force(index->configuration()))
        this->owner.set_limit(each.organisation, each.limit);
}

void local_limit_owner::send(const admission::usage_report& report) {
    const auto now = this->loop.time().now();
    this->turns.limits().apply(this->owner.report(report, now), now);
}

} // namespace samphirespool::router
