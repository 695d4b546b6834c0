// Owner of all limits in a router without peers: replies to its own usage reports at once.
#pragma once

#include "admission/limit_owner.hpp"
#include "router/request_queue.hpp"

#include <unordered_map>

namespace samphirespool::router {

class local_limit_owner final : public usage_report_sender {
public:
    local_limit_owner(kernel::loop& loop, fleet_view& fleet, request_queue& queue);
    ~local_limit_owner() override { this->queue.set_report_sender(nullptr); }
    local_limit_owner(const local_limit_owner&) = delete;
    local_limit_owner& operator=(const local_limit_owner&) = delete;

    void send(const admission::usage_report& report) override;

private:
    void update_limits();

    kernel::loop& loop;
    fleet_view& fleet;
    request_queue& queue;
    admission::limit_owner owner;
};

} // namespace samphirespool::router
