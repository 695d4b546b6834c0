// Ejects targets whose responses fail repeatedly, per service, and readmits them after a while.
#pragma once

#include "admission/outlier_detector.hpp"
#include "kernel/event.hpp"
#include "kernel/loop.hpp"
#include "router/fleet_view.hpp"

#include <unordered_map>

namespace samphirespool::router {

class target_health {
public:
    target_health(kernel::loop& loop, fleet_view& fleet, kernel::event_sink& events);
    ~target_health();
    target_health(const target_health&) = delete;
    target_health& operator=(const target_health&) = delete;

    // Records the result of an attempt on the target.
    void record(helpers::service_id service, helpers::target_id target, bool failed);

private:
    void update_targets();
    void apply_ejections();
    void tick();

    kernel::loop& loop;
    fleet_view& fleet;
    kernel::event_sink& events;
    std::unordered_map<helpers::service_id, admission::outlier_detector> detectors;
    kernel::timer_id timer = 0;
};

} // namespace samphirespool::router
