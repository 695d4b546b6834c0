// Share leases of one router on its loop: feeds them the fleet's targets, the roster, frames and
// load reports.
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

    admission::reservation_service& reservations() { return this->waiting; }
    const ownership::share_manager& shares() const { return this->manager; }
    const load_poller& loads() const { return this->poller; }
    std::size_t waiting_requests() const { return this->waiting.waiting(); }

private:
    void refresh_targets();
    std::vector<polled_target> owned_targets() const;

    fleet_view& fleet;
    wire::shares_outbox outbox;
    ownership::share_manager manager;
    ownership::share_reservations waiting;
    load_poller poller;
};

} // namespace samphirespool::router
