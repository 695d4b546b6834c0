// Leases, registrations and slot limits of an owner.
#include "ownership/share_owner.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::ownership {

namespace {

// This many consecutive promises that differ from the records cause a new registration.
constexpr std::uint32_t max_mismatched_promises = 3;

} // namespace

share_owner::share_owner(const kernel::clock& time, const membership::membership_view& view,
                         share_mailbox& mailbox, const share_timing& timing, shard_id shard)
    : time(time),
      view(view),
      mailbox(mailbox),
      timing(timing),
      shard(shard),
      lenders(view, timing),
      next_challenge(time.now()) {}

void share_owner::set_targets(std::span<const admission::ledger_target> targets,
                              double load_multiple) {
    this->ledger.set_load_multiple(load_multiple);
    this->ledger.set_targets(targets, this->time.now());
    this->incarnations.clear();
    for (const auto& target : targets)
        this->incarnations.emplace(target.id, target.incarnation);
    this->limits_stale = true;
    this->update_limits();
}

void share_owner::set_roster(const membership::roster& updated) {
    this->lenders.set_roster(updated, this->time.now());
    this->limits_stale = true;
}

std::vector<outstanding_grant> share_owner::deactivate() {
    const auto now = this->time.now();
    std::vector<outstanding_grant> outstanding;
    for (const auto& [router, router_records] : this->records) {
        for (const auto& [number, record] : router_records) {
            this->ledger.finish(record.content.target, record.content.cost,
                                admission::release::result::not_sent, {}, now);
            if (record.awaits_witness || record.expires_at <= now)
                continue;
            outstanding.push_back(record.content);
            outstanding.back().remaining = record.expires_at - now;
        }
    }
    for (const auto& [router, entry] : this->lenders.entries())
        this->mailbox.to(router).released.push_back({this->shard, now});
    // Witnesses keep their records, so that the next owner learns them from registrations.
    this->records.clear();
    this->lenders.clear();
    this->waiters.clear();
    this->waiting_count = 0;
    this->limits_stale = true;
    this->active = false;
    return outstanding;
}

void share_owner::challenge(helpers::router_id to, bool register_again) {
    const auto load = this->ledger.own_load();
    this->mailbox.to(to).challenges.push_back(
        {this->shard, this->time.now(), register_again, load.tokens, load.warm_targets});
}

void share_owner::on_follow(helpers::router_id from, helpers::incarnation) {
    if (this->active)
        this->challenge(from, true);
}

void share_owner::on_promise(helpers::router_id from, helpers::incarnation incarnation,
                             const promise_item& item) {
    // A renewal is accepted only after a registration with this incarnation, so it need not name
    // the incarnation.
    if (!this->active ||
        (item.registers && item.owner_incarnation != this->view.self().incarnation))
        return;
    const auto now = this->time.now();
    if (!item.registers) {
        auto* renewed = this->lenders.renew(from, incarnation, item, now);
        if (renewed == nullptr)
            this->challenge(from, true);
        else
            this->check_consistency(from, *renewed, item);
        this->update_limits();
        this->serve_waiters();
        return;
    }
    const auto* previous = this->lenders.find(from);
    if (previous != nullptr && previous->incarnation != incarnation)
        this->on_router_stopped(from);
    if (this->lenders.add_registration(from, incarnation, item, now) == nullptr)
        return;
    ++this->counter_values.registrations;
    this->replace_own_records(from, item);
    this->add_records_of_others(from, item);
    this->update_limits();
    this->serve_waiters();
}

void share_owner::on_unfollow(helpers::router_id from) {
    this->lenders.release(from, this->time.now());
    this->update_limits();
    this->mailbox.to(from).released.push_back({this->shard, this->time.now()});
}

// The follower is authoritative for its own reservations: one that was granted before the challenge
// and is not listed has finished, or the follower will drop the grant.
void share_owner::replace_own_records(helpers::router_id from, const promise_item& item) {
    std::set<reservation_number> listed;
    for (const auto& record : item.records) {
        if (record.requester == from)
            listed.insert(record.number);
    }
    std::vector<reservation_number> finished;
    for (const auto& [number, record] : this->records[from]) {
        if (!record.awaits_witness && record.granted_at <= item.time && !listed.contains(number))
            finished.push_back(number);
    }
    for (const auto number : finished)
        this->remove_record(from, number, admission::release::result::cancelled, {});
    for (const auto& record : item.records) {
        if (record.requester == from && !this->records[from].contains(record.number))
            this->add_known_grant(record);
    }
}

// Adds grants to routers that do not register their own: those that do not lend here, unless their
// process has stopped.
void share_owner::add_records_of_others(helpers::router_id from, const promise_item& item) {
    const auto now = this->time.now();
    for (const auto& record : item.records) {
        const auto reports_itself = this->lenders.lends(record.requester, now);
        const auto* requester = this->view.find(record.requester);
        const auto has_stopped = requester != nullptr && !record.sponsored &&
                                 requester->record.health >= membership::member_health::stopped;
        if (record.requester == from || reports_itself || has_stopped)
            continue;
        if (!this->records[record.requester].contains(record.number))
            this->add_known_grant(record);
    }
}

void share_owner::add_known_grant(const outstanding_grant& record) {
    const auto now = this->time.now();
    grant_record added;
    added.content = record;
    added.granted_at = helpers::time_point::min();
    added.expires_at = now + record.remaining + this->timing.expiry_grace;
    this->ledger.add_existing(record.target, record.cost, now);
    this->ledger.restore_allowance(record.target, record.incarnation, record.allowance, now);
    this->records[record.requester].emplace(record.number, std::move(added));
    this->limits_stale = true;
}

// Requests a new registration if the sender's outstanding grants keep differing from the records.
void share_owner::check_consistency(helpers::router_id from, lender& sender,
                                    const promise_item& item) {
    std::uint32_t count = 0;
    std::uint64_t hash = 0;
    for (const auto& [number, record] : this->records[from]) {
        if (record.awaits_witness)
            continue;
        ++count;
        hash += mix(number);
    }
    if (count == item.count && hash == item.hash) {
        sender.mismatched_promises = 0;
        return;
    }
    if (++sender.mismatched_promises < max_mismatched_promises)
        return;
    sender.mismatched_promises = 0;
    this->challenge(from, true);
}

void share_owner::on_router_stopped(helpers::router_id id) {
    this->lenders.remove(id);
    std::vector<reservation_number> finished;
    for (const auto& [number, record] : this->records[id]) {
        if (!record.content.sponsored)
            finished.push_back(number);
    }
    for (const auto number : finished)
        this->remove_record(id, number, admission::release::result::cancelled, {});
    const auto queue = this->waiters.extract(id);
    if (!queue.empty())
        this->waiting_count -= queue.mapped().size();
    this->limits_stale = true;
    this->update_limits();
    this->serve_waiters();
}

// Sets the ledger's slot limits to the sum of the shares that are usable now.
void share_owner::update_limits() {
    auto routers = this->lenders.usable(this->time.now());
    if (!this->limits_stale && routers == this->usable_lenders)
        return;
    this->usable_lenders = std::move(routers);
    this->limits_stale = false;
    for (const auto& [target, incarnation] : this->incarnations)
        this->ledger.set_slot_limit(
            target, this->lenders.slots(this->usable_lenders, this->ledger.allowance(target)));
}

std::uint32_t share_owner::slots(helpers::target_id target) {
    if (!this->active)
        return 0;
    this->update_limits();
    return this->ledger.capacity(target, this->time.now());
}

void share_owner::on_load_report(helpers::target_id target, const admission::load_report& report) {
    this->ledger.report(target, report, this->time.now());
    this->limits_stale = true;
    this->update_limits();
    this->serve_waiters();
}

void share_owner::tick() {
    if (!this->active)
        return;
    const auto now = this->time.now();
    this->update_limits();
    this->remove_expired();
    this->check_witnesses();
    if (now >= this->next_challenge) {
        this->next_challenge = now + this->timing.challenge_period;
        for (const auto& [id, entry] : this->lenders.entries()) {
            const auto* member = this->view.find(id);
            if (member != nullptr && member->is_live())
                this->challenge(id, false);
        }
    }
    this->serve_waiters();
}

} // namespace samphirespool::ownership
