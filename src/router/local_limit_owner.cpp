// Keeps the owner's limits as the configuration has them.
#include "router/local_limit_owner.hpp"

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
    const auto factor = index->configuration().preset().limit_factor;
    for (const auto& [name, each] : index->configuration().organisations) {
        if (each.max_requests_per_second == 0 && each.max_in_flight == 0)
            continue;
        const auto in_flight = static_cast<double>(each.max_in_flight) * factor;
        this->owner.set_limit(
            helpers::id_of<helpers::organisation_id>(name),
            {each.max_requests_per_second * factor, static_cast<std::uint32_t>(in_flight)});
    }
}

void local_limit_owner::send(const admission::usage_report& report) {
    const auto now = this->loop.time().now();
    this->turns.limits().apply(this->owner.report(report, now), now);
}

} // namespace samphirespool::router
