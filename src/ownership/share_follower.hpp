// One router as the follower of one shard's owner: lends its shares to that owner alone, asks it
// for grants, and moves to another owner only when the first cannot count on its shares any more.
#pragma once

#include "kernel/clock.hpp"
#include "membership/membership_view.hpp"
#include "membership/roster.hpp"
#include "ownership/record_book.hpp"
#include "ownership/reservation_table.hpp"
#include "ownership/share_timing.hpp"

#include <optional>

namespace samphirespool::ownership {

class share_follower {
public:
    struct books {
        const record_book& granted;
        const record_book& witnessed;
    };

    share_follower(const kernel::clock& time, const membership::membership_view& view,
                   share_mailbox& mailbox, const share_timing& timing,
                   reservation_table& reservations, books kept, shard_id shard);

    // A settled roster moved shares between members: what this router now holds may be in use.
    void set_roster(const membership::roster& fresh);
    // Another split of the service had this shard's targets: follow no one before these promises
    // have lapsed.
    void wait_for_earlier_promises() { this->not_before = this->time.now() + this->timing.lease; }
    // The router that should own the shard by this router's view; none: unknown.
    void set_desired(std::optional<helpers::router_id> owner);

    void on_challenge(helpers::router_id from, helpers::incarnation incarnation,
                      const challenge_item& item);
    void on_released(helpers::router_id from, const released_item& item);
    void on_grant(helpers::router_id from, helpers::incarnation incarnation,
                  const grant_item& item);
    void on_full(helpers::router_id from, const no_capacity_item& item);
    // Whether a witness record from this router may be taken in.
    bool follows(helpers::router_id id, helpers::incarnation incarnation) const;

    void tick();
    void ask(reservation& wanted);
    void finish(const finish_item& ended);

    std::optional<helpers::router_id> owner() const;
    // Whether the owner is known to have the registration.
    bool confirmed() const {
        return this->registered() && this->now_following->confirmed &&
               this->now_following->promised_until > this->time.now();
    }
    bool registered() const { return this->now_following && this->now_following->registered; }

private:
    struct following {
        helpers::router_id id;
        // Zero until the owner was heard of.
        helpers::incarnation incarnation;
        bool registered = false;
        // The owner renewed a lease after the registration.
        bool confirmed = false;
        bool leaving = false;
        // Time of the challenge that the registration answered.
        helpers::time_point registered_at;
        // Invariant: no other router is followed before this time unless this one released it.
        helpers::time_point promised_until;
        helpers::time_point asked_at;
    };

    void reconsider();
    bool should_move() const;
    bool owner_is_over() const;
    void start_following(helpers::router_id id);
    void stop_following() { this->now_following.reset(); }
    void register_with(const challenge_item& item);
    promise_item make_promise(const challenge_item& item, bool registers) const;
    bool has_full_history() const;
    const membership::roster_entry* own_entry() const;

    const kernel::clock& time;
    const membership::membership_view& view;
    share_mailbox& mailbox;
    const share_timing& timing;
    reservation_table& reservations;
    books kept;
    shard_id shard;
    membership::roster roster;
    helpers::time_point started;
    std::optional<following> now_following;
    std::optional<helpers::router_id> desired;
    helpers::time_point desired_since;
    helpers::time_point not_before;
    // The last owner that this router registered with.
    helpers::router_id last_id;
    helpers::incarnation last_incarnation;
    helpers::time_point encumbered_until;
};

} // namespace samphirespool::ownership
