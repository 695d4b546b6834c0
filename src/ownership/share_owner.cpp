// Leases, registrations and limits of an owner.
#include "ownership/share_owner.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::ownership {

namespace {

constexpr std::uint32_t differing_limit = 3;

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
    this->refresh();
}

void share_owner::set_roster(const membership::roster& fresh) {
    this->lenders.set_roster(fresh, this->time.now());
    this->limits_stale = true;
}

std::vector<outstanding_grant> share_owner::close() {
    const auto now = this->time.now();
    std::vector<outstanding_grant> kept;
    for (const auto& [router, of_router] : this->records) {
        for (const auto& [number, record] : of_router) {
            this->ledger.finish(record.content.target, record.content.cost,
                                admission::release::result::not_sent, {}, now);
            if (record.pending || record.ends <= now)
                continue;
            kept.push_back(record.content);
            kept.back().remaining = record.ends - now;
        }
    }
    for (const auto& [router, entry] : this->lenders.all())
        this->mailbox.to(router).released.push_back({this->shard, now});
    // Witnesses keep what they know until the next owner has found its own.
    this->records.clear();
    this->lenders.clear();
    this->waiters.clear();
    this->waiting_count = 0;
    this->limits_stale = true;
    this->is_open = false;
    return kept;
}

void share_owner::challenge(helpers::router_id to, bool register_again) {
    const auto load = this->ledger.own_load();
    this->mailbox.to(to).challenges.push_back(
        {this->shard, this->time.now(), register_again, load.tokens, load.warm_targets});
}

void share_owner::on_follow(helpers::router_id from, helpers::incarnation) {
    if (this->is_open)
        this->challenge(from, true);
}

void share_owner::on_promise(helpers::router_id from, helpers::incarnation incarnation,
                             const promise_item& item) {
    // A renewal counts only after a registration with this life, so it needs not name it.
    if (!this->is_open ||
        (item.registers && item.owner_incarnation != this->view.self().incarnation))
        return;
    const auto now = this->time.now();
    if (!item.registers) {
        auto* known = this->lenders.renew(from, incarnation, item, now);
        if (known == nullptr)
            this->challenge(from, true);
        else
            this->notice_difference(from, *known, item);
        this->refresh();
        this->serve_waiters();
        return;
    }
    const auto* before = this->lenders.find(from);
    if (before != nullptr && before->incarnation != incarnation)
        this->on_over(from);
    if (this->lenders.take_registration(from, incarnation, item, now) == nullptr)
        return;
    ++this->counted.registrations;
    this->replace_records(from, item);
    this->learn_records_of_others(from, item);
    this->refresh();
    this->serve_waiters();
}

void share_owner::on_unfollow(helpers::router_id from) {
    this->lenders.release(from, this->time.now());
    this->refresh();
    this->mailbox.to(from).released.push_back({this->shard, this->time.now()});
}

// The follower is the truth about its own reservations: those granted before the challenge that it
// does not list were ended or will be dropped by it.
void share_owner::replace_records(helpers::router_id from, const promise_item& item) {
    std::set<reservation_number> listed;
    for (const auto& record : item.records) {
        if (record.requester == from)
            listed.insert(record.number);
    }
    std::vector<reservation_number> ended;
    for (const auto& [number, record] : this->records[from]) {
        if (!record.pending && record.granted_at <= item.time && !listed.contains(number))
            ended.push_back(number);
    }
    for (const auto number : ended)
        this->end_record(from, number, admission::release::result::cancelled, {});
    for (const auto& record : item.records) {
        if (record.requester == from && !this->records[from].contains(record.number))
            this->add_existing(record);
    }
}

void share_owner::learn_records_of_others(helpers::router_id from, const promise_item& item) {
    const auto now = this->time.now();
    for (const auto& record : item.records) {
        const auto tells_itself = this->lenders.lends(record.requester, now);
        const auto* requester = this->view.find(record.requester);
        const auto over = requester != nullptr && !record.sponsored &&
                          requester->record.health >= membership::member_health::stopped;
        if (record.requester == from || tells_itself || over)
            continue;
        if (!this->records[record.requester].contains(record.number))
            this->add_existing(record);
    }
}

void share_owner::add_existing(const outstanding_grant& record) {
    const auto now = this->time.now();
    grant_record known;
    known.content = record;
    known.granted_at = helpers::time_point::min();
    known.ends = now + record.remaining + this->timing.end_grace;
    this->ledger.add_existing(record.target, record.cost, now);
    this->ledger.restore_allowance(record.target, record.incarnation, record.allowance, now);
    this->records[record.requester].emplace(record.number, std::move(known));
    this->limits_stale = true;
}

void share_owner::notice_difference(helpers::router_id from, lender& known,
                                    const promise_item& item) {
    std::uint32_t count = 0;
    std::uint64_t hash = 0;
    for (const auto& [number, record] : this->records[from]) {
        if (record.pending)
            continue;
        ++count;
        hash += mix(number);
    }
    if (count == item.count && hash == item.hash) {
        known.differing = 0;
        return;
    }
    if (++known.differing < differing_limit)
        return;
    known.differing = 0;
    this->challenge(from, true);
}

void share_owner::on_over(helpers::router_id id) {
    this->lenders.remove(id);
    std::vector<reservation_number> ended;
    for (const auto& [number, record] : this->records[id]) {
        if (!record.content.sponsored)
            ended.push_back(number);
    }
    for (const auto number : ended)
        this->end_record(id, number, admission::release::result::cancelled, {});
    const auto queue = this->waiters.extract(id);
    if (!queue.empty())
        this->waiting_count -= queue.mapped().size();
    this->limits_stale = true;
    this->refresh();
    this->serve_waiters();
}

// Brings the ledger's limits up to date with who lends now.
void share_owner::refresh() {
    auto routers = this->lenders.usable(this->time.now());
    if (!this->limits_stale && routers == this->counted_routers)
        return;
    this->counted_routers = std::move(routers);
    this->limits_stale = false;
    for (const auto& [target, incarnation] : this->incarnations)
        this->ledger.set_slot_limit(
            target, this->lenders.slots(this->counted_routers, this->ledger.allowance(target)));
}

std::uint32_t share_owner::slots(helpers::target_id target) {
    if (!this->is_open)
        return 0;
    this->refresh();
    return this->ledger.capacity(target, this->time.now());
}

void share_owner::on_load_report(helpers::target_id target, const admission::load_report& report) {
    this->ledger.report(target, report, this->time.now());
    this->limits_stale = true;
    this->refresh();
    this->serve_waiters();
}

void share_owner::tick() {
    if (!this->is_open)
        return;
    const auto now = this->time.now();
    this->refresh();
    this->expire();
    this->check_witnesses();
    if (now >= this->next_challenge) {
        this->next_challenge = now + this->timing.challenge_period;
        for (const auto& [id, entry] : this->lenders.all()) {
            const auto* known = this->view.find(id);
            if (known != nullptr && known->is_live())
                this->challenge(id, false);
        }
    }
    this->serve_waiters();
}

} // namespace samphirespool::ownership
