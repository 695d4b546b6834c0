// Limits of organisations over the whole fleet: reports of this router go to the owner of each
// limit, and this router answers for the limits that it owns.
#pragma once

#include "admission/limit_owner.hpp"
#include "router/membership_service.hpp"
#include "router/turn_queue.hpp"
#include "wire/limits_codec.hpp"

#include <vector>

namespace samphirespool::router {

class limit_service final : public limit_reports {
public:
    limit_service(kernel::loop& loop, wire::peer_transport& transport, membership_service& members,
                  fleet_view& fleet, turn_queue& turns);
    ~limit_service() override { this->turns.set_reports(nullptr); }
    limit_service(const limit_service&) = delete;
    limit_service& operator=(const limit_service&) = delete;

    void send(const admission::usage_report& report) override;

private:
    void refresh_limits();
    void refresh_routers();
    void receive(const helpers::endpoint& from, const wire::limits_message& message);

    kernel::loop& loop;
    wire::peer_transport& transport;
    membership::membership_view& members;
    fleet_view& fleet;
    turn_queue& turns;
    admission::limit_owner owner;
    // Invariant: the live routers, sorted; the same on every router with the same view.
    std::vector<helpers::router_id> routers;
};

} // namespace samphirespool::router
