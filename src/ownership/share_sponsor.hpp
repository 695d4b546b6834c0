// Reserves on behalf of routers that are no members of this region's roster: newcomers and routers
// of other regions. The sponsor is the requester towards the owner and registers these grants.
#pragma once

#include "ownership/reservation_table.hpp"

#include <map>
#include <utility>

namespace samphirespool::ownership {

class reservation_starter {
public:
    virtual ~reservation_starter() = default;
    // Asks for a grant. The listener runs later, never from within the call.
    virtual reservation_number start(reservation fresh) = 0;
    // Ends a reservation, granted or not; its listener does not run any more.
    virtual void finish(reservation_number number, admission::release::result how,
                        helpers::duration first_byte) = 0;
};

class share_sponsor {
public:
    share_sponsor(reservation_starter& starter, share_mailbox& mailbox)
        : starter(starter), mailbox(mailbox) {}

    void on_reserve(helpers::router_id from, const reserve_item& item, helpers::time_point now);
    // False if no such reservation was made here.
    bool on_finish(helpers::router_id from, const finish_item& item);
    // The process of a router is over, and the requests that it ran with it.
    void on_over(helpers::router_id id);
    // The reservation ended without word from its holder.
    void forget(reservation_number number);

private:
    using holder = std::pair<helpers::router_id, reservation_number>;
    struct held {
        reservation_number number = 0;
        bool granted = false;
        grant_item grant;
    };

    void on_grant(const holder& key, grant_item grant);

    reservation_starter& starter;
    share_mailbox& mailbox;
    std::map<holder, held> entries;
};

} // namespace samphirespool::ownership
