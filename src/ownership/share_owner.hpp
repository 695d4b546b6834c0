// The owner of one shard on one router: grants reservations out of the shares that followers lend.
#pragma once

#include "admission/target_ledger.hpp"
#include "ownership/lender_set.hpp"

#include <deque>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace samphirespool::ownership {

// Totals since the owner was created.
struct owner_counters {
    std::uint64_t grants = 0;
    std::uint64_t queued = 0;
    std::uint64_t witnessed = 0;
    std::uint64_t registrations = 0;
};

class share_owner {
public:
    share_owner(const kernel::clock& time, const membership::membership_view& view,
                share_mailbox& mailbox, const share_timing& timing, shard_id shard);

    void set_targets(std::span<const admission::ledger_target> targets, double load_multiple);
    void set_roster(const membership::roster& updated);
    void set_peer_load(admission::peer_load load) { this->ledger.set_peer_load(load); }

    // To be called when this router starts to follow itself. An inactive owner grants nothing.
    void activate() { this->active = true; }
    // To be called before this router follows another owner: releases all shares. Returns the
    // outstanding grants.
    std::vector<outstanding_grant> deactivate();
    bool is_active() const { return this->active; }

    void on_follow(helpers::router_id from, helpers::incarnation incarnation);
    void on_promise(helpers::router_id from, helpers::incarnation incarnation,
                    const promise_item& item);
    void on_unfollow(helpers::router_id from);
    void on_reserve(helpers::router_id from, helpers::incarnation incarnation,
                    const reserve_item& item);
    void on_finish(helpers::router_id from, const finish_item& item);
    void on_witness_reply(helpers::router_id from, const witness_reply_item& item);
    void on_load_report(helpers::target_id target, const admission::load_report& report);
    // The router's process has stopped, and the requests that it ran with it.
    void on_router_stopped(helpers::router_id id);

    void tick();

    const admission::target_ledger& targets() const { return this->ledger; }
    const owner_counters& counters() const { return this->counter_values; }
    const lender_set& lending() const { return this->lenders; }
    bool complete() const { return this->lenders.complete(this->time.now()); }
    // Whether an outstanding grant is known to routers of one failure domain only.
    bool has_unwitnessed_grants() const;
    // Number of queued requests.
    std::size_t waiting() const { return this->waiting_count; }
    // Concurrent requests that the usable shares allow on the target now.
    std::uint32_t slots(helpers::target_id target);

private:
    struct grant_record {
        outstanding_grant content;
        helpers::time_point granted_at;
        helpers::time_point expires_at;
        // Zero if there is none.
        helpers::router_id witness;
        // The witness has not replied yet; the grant is sent only after it has.
        bool awaits_witness = false;
        bool witnessed = false;
        // When the record was sent to the witness.
        helpers::time_point sent_at;
        // From the request, to queue it again if the witness does not accept.
        bool may_wait = true;
        std::vector<helpers::target_id> candidates;
        admission::reservation_hints hints;
    };
    // A request that waits for capacity.
    struct waiter {
        reserve_item request;
        helpers::time_point expires_at;
    };
    using records_of_router = std::map<reservation_number, grant_record>;

    void challenge(helpers::router_id to, bool register_again);
    void update_limits();
    void replace_own_records(helpers::router_id from, const promise_item& item);
    void add_records_of_others(helpers::router_id from, const promise_item& item);
    void add_known_grant(const outstanding_grant& record);
    bool try_grant(helpers::router_id from, const reserve_item& item);
    void send_to_witness(grant_record& record, helpers::router_id witness);
    void send_grant(grant_record& record);
    void requeue_grant(helpers::router_id requester, reservation_number number);
    void remove_record(helpers::router_id requester, reservation_number number,
                       admission::release::result result, helpers::duration first_byte);
    void enqueue_waiter(helpers::router_id from, const reserve_item& item);
    bool is_waiting(helpers::router_id from, reservation_number number) const;
    bool remove_waiter(helpers::router_id from, reservation_number number);
    void serve_waiters();
    bool serve_first_waiter(helpers::router_id from, std::deque<waiter>& queue);
    void remove_expired();
    void check_witnesses();
    void check_consistency(helpers::router_id from, lender& sender, const promise_item& item);

    const kernel::clock& time;
    const membership::membership_view& view;
    share_mailbox& mailbox;
    const share_timing& timing;
    shard_id shard;
    admission::target_ledger ledger;
    // Incarnation of each target of the shard.
    std::map<helpers::target_id, std::uint64_t> incarnations;
    lender_set lenders;
    // The routers whose shares make up the ledger's limits.
    std::vector<helpers::router_id> usable_lenders;
    bool limits_stale = true;
    // By requester. Invariant: the ledger counts exactly these grants.
    std::map<helpers::router_id, records_of_router> records;
    std::map<helpers::router_id, std::deque<waiter>> waiters;
    std::size_t waiting_count = 0;
    // Router whose queue was tried last.
    helpers::router_id last_served;
    helpers::time_point next_challenge;
    owner_counters counter_values;
    bool active = false;
};

} // namespace samphirespool::ownership
