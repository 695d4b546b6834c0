// Runs the share leases of one router: passes the fleet's targets, the roster, frames from peers
// and load reports to the share manager.
#pragma once

#include "http/client.hpp"
#include "ownership/share_reservations.hpp"
#include "router/fleet_view.hpp"
#include "router/load_poller.hpp"
#include "router/membership_service.hpp"
#include "wire/shares_codec.hpp"

namespace samphirespool::router {

class share_service {
public:
    share_service(kernel::loop& loop, wire::peer_transport& transport, membership_service& members,
                  fleet_view& fleet, http::client& targets);

    admission::reservation_service& reservations() { return this->reservation_queue; }
    const ownership::share_manager& shares() const { return this->manager; }
    const load_poller& loads() const { return this->poller; }
    std::size_t waiting_requests() const { return this->reservation_queue.waiting(); }

private:
    void update_targets();
    // Targets whose shard this router owns, with their addresses.
    std::vector<polled_target> owned_targets() const;

    fleet_view& fleet;
    wire::shares_outbox outbox;
    ownership::share_manager manager;
    ownership::share_reservations reservation_queue;
    load_poller poller;
};

} // namespace samphirespool::router
