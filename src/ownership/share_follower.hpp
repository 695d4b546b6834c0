// The follower of one shard on one router: lends the router's share to one owner at a time,
// requests grants from it, and changes to another owner only once the first can no longer use the
// share.
#pragma once

#include "kernel/clock.hpp"
#include "membership/membership_view.hpp"
#include "membership/roster.hpp"
#include "ownership/grant_record_table.hpp"
#include "ownership/reservation_table.hpp"
#include "ownership/share_timing.hpp"

#include <optional>

namespace samphirespool::ownership {

class share_follower {
public:
    // Records of grants to other routers that registrations list.
    struct grant_tables {
        const grant_record_table& granted;
        const grant_record_table& witnessed;
    };

    share_follower(const kernel::clock& time, const membership::membership_view& view,
                   share_mailbox& mailbox, const share_timing& timing,
                   reservation_table& reservations, grant_tables tables, shard_id shard);

    // A settled roster moves shares between members: this router's share becomes encumbered.
    void set_roster(const membership::roster& updated);
    // To be called if the targets were in other shards before: no owner is followed until the
    // promises for those shards have expired.
    void wait_for_earlier_promises() {
        this->follow_not_before = this->time.now() + this->timing.lease;
    }
    // The router that should own the shard by this router's view; nullopt if unknown.
    void set_desired_owner(std::optional<helpers::router_id> owner);

    void on_challenge(helpers::router_id from, helpers::incarnation incarnation,
                      const challenge_item& item);
    void on_released(helpers::router_id from, const released_item& item);
    void on_grant(helpers::router_id from, helpers::incarnation incarnation,
                  const grant_item& item);
    void on_no_capacity(helpers::router_id from, const no_capacity_item& item);
    // Whether this incarnation of the router is the owner that this router is registered with. Only
    // its grants and witness records are accepted.
    bool follows(helpers::router_id id, helpers::incarnation incarnation) const;

    // Retries what the owner has not confirmed and changes owners when due.
    void tick();
    // Sends the reservation to the owner; if there is none yet, the registration will.
    void request_grant(reservation& pending);
    // Notifies the current owner that a reservation finished.
    void finish(const finish_item& finished);

    std::optional<helpers::router_id> owner() const;
    // Whether the owner has confirmed the registration and the promise is still valid.
    bool confirmed() const {
        return this->registered() && this->current_owner->confirmed &&
               this->current_owner->promised_until > this->time.now();
    }
    bool registered() const { return this->current_owner && this->current_owner->registered; }

private:
    struct owner_state {
        helpers::router_id id;
        // Zero until the first message from the owner.
        helpers::incarnation incarnation;
        bool registered = false;
        // The owner sent another challenge after it received the registration.
        bool confirmed = false;
        // An unfollow was sent.
        bool unfollowing = false;
        // Reading of the owner's clock in the challenge to which the registration replied.
        helpers::time_point registered_at;
        // Invariant: no other owner is followed before this time unless this one sent a release or
        // its process stopped.
        helpers::time_point promised_until;
        // When the last follow or unfollow was sent.
        helpers::time_point sent_at;
    };

    void update_owner();
    bool should_change_owner() const;
    bool owner_has_stopped() const;
    void start_following(helpers::router_id id);
    void stop_following() { this->current_owner.reset(); }
    void send_registration(const challenge_item& item);
    promise_item make_promise(const challenge_item& item, bool registers) const;
    bool has_full_history() const;
    const membership::roster_entry* own_entry() const;

    const kernel::clock& time;
    const membership::membership_view& view;
    share_mailbox& mailbox;
    const share_timing& timing;
    reservation_table& reservations;
    grant_tables tables;
    shard_id shard;
    membership::roster roster;
    helpers::time_point started_at;
    std::optional<owner_state> current_owner;
    std::optional<helpers::router_id> desired_owner;
    helpers::time_point desired_since;
    helpers::time_point follow_not_before;
    // The last owner that this router registered with.
    helpers::router_id last_owner;
    helpers::incarnation last_owner_incarnation;
    // Until then, grants that this router does not know may use its share.
    helpers::time_point encumbered_until;
};

} // namespace samphirespool::ownership
