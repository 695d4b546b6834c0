// Owner of all limits for one router that has no peers: answers its reports at once.
#pragma once

#include "admission/limit_owner.hpp"
#include "router/turn_queue.hpp"

#include <unordered_map>

namespace samphirespool::router {

class local_limit_owner final : public limit_reports {
public:
    local_limit_owner(kernel::loop& loop, fleet_view& fleet, turn_queue& turns);
    ~local_limit_owner() override { this->turns.set_reports(nullptr); }
    local_limit_owner(const local_limit_owner&) = delete;
    local_limit_owner& operator=(const local_limit_owner&) = delete;

    void send(const admission::usage_report& report) override;

private:
    void refresh();

    kernel::loop& loop;
    fleet_view& fleet;
    turn_queue& turns;
    admission::limit_owner owner;
};

} // namespace samphirespool::router
