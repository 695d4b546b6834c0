// Reserves on behalf of routers outside this region's roster: routers that have not joined it yet
// and routers of other regions. Towards the owner the sponsor is the requester, and it registers
// these grants as its own.
#pragma once

#include "ownership/reservation_table.hpp"

#include <map>
#include <utility>

namespace samphirespool::ownership {

class reservation_starter {
public:
    virtual ~reservation_starter() = default;
    // Requests a grant. The listener runs later, never from within the call.
    virtual reservation_number start(reservation added) = 0;
    // Finishes or cancels a reservation; its listener does not run any more.
    virtual void finish(reservation_number number, admission::release::result result,
                        helpers::duration first_byte) = 0;
};

class share_sponsor {
public:
    share_sponsor(reservation_starter& starter, share_mailbox& mailbox)
        : starter(starter), mailbox(mailbox) {}

    void on_reserve(helpers::router_id from, const reserve_item& item, helpers::time_point now);
    // Returns false if this sponsor has no such reservation.
    bool on_finish(helpers::router_id from, const finish_item& item);
    // The router's process has stopped, and the requests that it ran with it.
    void on_router_stopped(helpers::router_id id);
    // Removes a reservation that expired without a finish from its holder.
    void remove(reservation_number number);

private:
    // The sponsored router and the number that it gave the reservation.
    using holder = std::pair<helpers::router_id, reservation_number>;
    struct sponsored_reservation {
        // Number of this router's own reservation.
        reservation_number number = 0;
        bool granted = false;
        grant_item grant;
    };

    void on_grant(const holder& key, grant_item grant);

    reservation_starter& starter;
    share_mailbox& mailbox;
    std::map<holder, sponsored_reservation> entries;
};

} // namespace samphirespool::ownership
