// Follows the limits of the configuration.
#include "router/local_limit_owner.hpp"

#include "router/effective_limits.hpp"

namespace samphirespool::router {

local_limit_owner::local_limit_owner(kernel::loop& loop, fleet_view& fleet, request_queue& queue)
    : loop(loop), fleet(fleet), queue(queue) {
    fleet.on_change([this] { this->update_limits(); });
    queue.set_report_sender(this);
    this->update_limits();
}

void local_limit_owner::update_limits() {
    const auto index = this->fleet.index();
    if (index == nullptr)
        return;
    for (const auto& effective : effective_limits(index->configuration()))
        this->owner.set_limit(effective.organisation, effective.limit);
}

void local_limit_owner::send(const admission::usage_report& report) {
    const auto now = this->loop.time().now();
    this->queue.limits().apply(this->owner.report(report, now), now);
}

} // namespace samphirespool::router
