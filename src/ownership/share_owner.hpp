// The owner of one shard: grants the slots that its followers lend to it.
#pragma once

#include "admission/target_ledger.hpp"
#include "ownership/lender_set.hpp"

#include <deque>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace samphirespool::ownership {

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
    void set_roster(const membership::roster& fresh);
    void set_peer_load(admission::peer_load load) { this->ledger.set_peer_load(load); }

    // This router follows itself from now on. Without that nothing is granted.
    void open() { this->is_open = true; }
    // This router is about to follow another owner: counts no share any more. Returns the grants to
    // others that have not ended.
    std::vector<outstanding_grant> close();
    bool open_now() const { return this->is_open; }

    void on_follow(helpers::router_id from, helpers::incarnation incarnation);
    void on_promise(helpers::router_id from, helpers::incarnation incarnation,
                    const promise_item& item);
    void on_unfollow(helpers::router_id from);
    void on_reserve(helpers::router_id from, helpers::incarnation incarnation,
                    const reserve_item& item);
    void on_finish(helpers::router_id from, const finish_item& item);
    void on_witness_answer(helpers::router_id from, const witness_reply_item& item);
    void on_load_report(helpers::target_id target, const admission::load_report& report);
    // The process of the router is over, and its requests with it.
    void on_over(helpers::router_id id);

    void tick();

    const admission::target_ledger& targets() const { return this->ledger; }
    const owner_counters& counters() const { return this->counted; }
    const lender_set& lending() const { return this->lenders; }
    bool complete() const { return this->lenders.complete(this->time.now()); }
    // Whether a grant that is in use is known to routers of one domain only.
    bool has_unwitnessed() const;
    std::size_t waiting() const { return this->waiting_count; }
    // Slots that may be in use on the target now.
    std::uint32_t slots(helpers::target_id target);

private:
    struct grant_record {
        outstanding_grant content;
        helpers::time_point granted_at;
        helpers::time_point ends;
        // Zero: none.
        helpers::router_id witness;
        // Set while the witness has not answered; the grant is not handed over before.
        bool pending = false;
        bool witnessed = false;
        helpers::time_point asked_at;
        bool may_wait = true;
        std::vector<helpers::target_id> candidates;
        admission::reservation_hints hints;
    };
    struct waiter {
        reserve_item request;
        helpers::time_point ends;
    };
    using records_of_router = std::map<reservation_number, grant_record>;

    void challenge(helpers::router_id to, bool register_again);
    void refresh();
    void replace_records(helpers::router_id from, const promise_item& item);
    void learn_records_of_others(helpers::router_id from, const promise_item& item);
    void add_existing(const outstanding_grant& record);
    bool try_grant(helpers::router_id from, const reserve_item& item);
    void ask_witness(grant_record& record, helpers::router_id witness);
    void hand_over(grant_record& record);
    void take_back(helpers::router_id requester, reservation_number number);
    void end_record(helpers::router_id requester, reservation_number number,
                    admission::release::result how, helpers::duration first_byte);
    void wait(helpers::router_id from, const reserve_item& item);
    bool waits(helpers::router_id from, reservation_number number) const;
    bool drop_waiter(helpers::router_id from, reservation_number number);
    void serve_waiters();
    bool serve_first_of(helpers::router_id from, std::deque<waiter>& queue);
    void expire();
    void check_witnesses();
    void notice_difference(helpers::router_id from, lender& known, const promise_item& item);

    const kernel::clock& time;
    const membership::membership_view& view;
    share_mailbox& mailbox;
    const share_timing& timing;
    shard_id shard;
    admission::target_ledger ledger;
    // Incarnation of each target of the shard.
    std::map<helpers::target_id, std::uint64_t> incarnations;
    lender_set lenders;
    // The routers whose shares the ledger's limits count.
    std::vector<helpers::router_id> counted_routers;
    bool limits_stale = true;
    // Invariant: the ledger counts exactly these as reserved or registered.
    std::map<helpers::router_id, records_of_router> records;
    std::map<helpers::router_id, std::deque<waiter>> waiters;
    std::size_t waiting_count = 0;
    // Whose turn was last among the waiters.
    helpers::router_id last_served;
    helpers::time_point next_challenge;
    owner_counters counted;
    bool is_open = false;
};

} // namespace samphirespool::ownership
