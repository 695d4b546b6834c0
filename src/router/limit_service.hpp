// Limits of organisations across the fleet: sends usage reports to the owner of each limit, and
// replies with shares of the limits that this router owns.
#pragma once

#include "admission/limit_owner.hpp"
#include "router/membership_service.hpp"
#include "router/request_queue.hpp"
#include "wire/limits_codec.hpp"

#include <vector>

namespace samphirespool::router {

class limit_service final : public usage_report_sender {
public:
    limit_service(kernel::loop& loop, wire::peer_transport& transport, membership_service& members,
                  fleet_view& fleet, request_queue& queue);
    ~limit_service() override { this->queue.set_report_sender(nullptr); }
    limit_service(const limit_service&) = delete;
    limit_service& operator=(const limit_service&) = delete;

    void send(const admission::usage_report& report) override;

private:
    void update_limits();
    void update_routers();
    void receive(const helpers::endpoint& from, const wire::limits_message& message);

    kernel::loop& loop;
    wire::peer_transport& transport;
    membership::membership_view& members;
    fleet_view& fleet;
    request_queue& queue;
    admission::limit_owner owner;
    // Live routers, this one included. Invariant: sorted, so that every router with the same view
    // picks the same owner of a limit.
    std::vector<helpers::router_id> routers;
};

} // namespace samphirespool::router
