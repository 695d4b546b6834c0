// Grants, witnesses and waiting requests of an owner.
#include "ownership/share_owner.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::ownership {

namespace {

constexpr std::size_t max_waiting_requests = 20'000;
// Bounds the work per freed slot.
constexpr std::size_t max_failed_attempts = 64;

} // namespace

void share_owner::on_reserve(helpers::router_id from, helpers::incarnation incarnation,
                             const reserve_item& item) {
    if (!this->active)
        return;
    const auto* sender = this->lenders.find(from);
    if (sender == nullptr || sender->incarnation != incarnation ||
        !sender->lends(this->time.now())) {
        this->challenge(from, true);
        return;
    }
    auto& own = this->records[from];
    const auto found = own.find(item.number);
    if (found != own.end()) {
        if (!found->second.awaits_witness)
            this->send_grant(found->second);
        return;
    }
    const auto already_queued = this->is_waiting(from, item.number);
    if (!already_queued && this->try_grant(from, item))
        return;
    const auto queued = item.may_wait && this->waiting_count < max_waiting_requests;
    if (queued && !already_queued)
        this->enqueue_waiter(from, item);
    this->mailbox.to(from).no_capacity.push_back(
        {this->shard, item.number, queued, item.sponsored});
}

bool share_owner::try_grant(helpers::router_id from, const reserve_item& item) {
    const auto now = this->time.now();
    this->update_limits();
    const auto target = this->ledger.try_reserve(item.candidates, item.cost, now, item.hints);
    if (!target)
        return false;
    grant_record record;
    record.content.requester = from;
    record.content.number = item.number;
    record.content.target = *target;
    record.content.incarnation = this->incarnations[*target];
    record.content.cost = item.cost;
    record.content.allowance = this->ledger.allowance(*target);
    record.content.remaining = item.remaining;
    record.content.sponsored = item.sponsored;
    record.expires_at = now + item.remaining + this->timing.expiry_grace;
    record.candidates = item.candidates;
    record.hints = item.hints;
    record.may_wait = item.may_wait;
    auto& stored = this->records[from].emplace(item.number, std::move(record)).first->second;
    // A grant that only routers of one domain know would be lost with that domain.
    const auto self = this->view.self().id;
    const auto witness = this->lenders.same_domain(from, self)
                             ? this->lenders.choose_witness(this->shard, from, now)
                             : std::nullopt;
    stored.awaits_witness = witness.has_value();
    if (witness)
        this->send_to_witness(stored, *witness);
    else
        this->send_grant(stored);
    return true;
}

void share_owner::send_to_witness(grant_record& record, helpers::router_id witness) {
    const auto now = this->time.now();
    record.witness = witness;
    record.witnessed = false;
    record.sent_at = now;
    auto content = record.content;
    content.remaining = record.expires_at - now;
    this->mailbox.to(witness).witnesses.push_back({this->shard, content});
    ++this->counter_values.witnessed;
}

void share_owner::send_grant(grant_record& record) {
    record.awaits_witness = false;
    record.granted_at = this->time.now();
    const auto& content = record.content;
    this->mailbox.to(content.requester)
        .grants.push_back({this->shard, content.number, content.target, record.granted_at,
                           content.incarnation, content.allowance, content.sponsored});
    ++this->counter_values.grants;
}

void share_owner::on_witness_reply(helpers::router_id from, const witness_reply_item& item) {
    const auto router_records = this->records.find(item.requester);
    if (!this->active || router_records == this->records.end())
        return;
    const auto found = router_records->second.find(item.number);
    if (found == router_records->second.end() || found->second.witness != from)
        return;
    found->second.witnessed = item.accepted;
    if (!found->second.awaits_witness)
        return;
    if (item.accepted && this->lenders.lends(item.requester, this->time.now()))
        this->send_grant(found->second);
    else
        this->requeue_grant(item.requester, item.number);
}

// Withdraws a grant that was not sent and queues its request again if that may wait. Otherwise the
// requester retries.
void share_owner::requeue_grant(helpers::router_id requester, reservation_number number) {
    const auto& record = this->records[requester][number];
    reserve_item request;
    request.shard = this->shard;
    request.number = number;
    request.cost = record.content.cost;
    request.remaining = record.expires_at - this->timing.expiry_grace - this->time.now();
    request.may_wait = record.may_wait;
    request.sponsored = record.content.sponsored;
    request.candidates = record.candidates;
    request.hints = record.hints;
    this->remove_record(requester, number, admission::release::result::not_sent, {});
    if (request.may_wait)
        this->enqueue_waiter(requester, request);
}

void share_owner::on_finish(helpers::router_id from, const finish_item& item) {
    if (!this->active)
        return;
    if (!this->remove_waiter(from, item.number))
        this->remove_record(from, item.number, item.result, item.first_byte);
    this->serve_waiters();
}

void share_owner::remove_record(helpers::router_id requester, reservation_number number,
                                admission::release::result result, helpers::duration first_byte) {
    const auto router_records = this->records.find(requester);
    if (router_records == this->records.end())
        return;
    const auto found = router_records->second.find(number);
    if (found != router_records->second.end()) {
        const auto& record = found->second;
        const auto target = record.content.target;
        this->ledger.finish(target, record.content.cost, result, first_byte, this->time.now());
        this->ledger.set_slot_limit(
            target, this->lenders.slots(this->usable_lenders, this->ledger.allowance(target)));
        if (record.witness.value != 0)
            this->mailbox.to(record.witness)
                .witness_drops.push_back({this->shard, requester, number});
        router_records->second.erase(found);
    }
    if (router_records->second.empty())
        this->records.erase(router_records);
}

void share_owner::enqueue_waiter(helpers::router_id from, const reserve_item& item) {
    this->waiters[from].push_back({item, this->time.now() + item.remaining});
    ++this->waiting_count;
    ++this->counter_values.queued;
}

bool share_owner::is_waiting(helpers::router_id from, reservation_number number) const {
    const auto queue = this->waiters.find(from);
    if (queue == this->waiters.end())
        return false;
    return std::any_of(queue->second.begin(), queue->second.end(),
                       [&](const waiter& waiting) { return waiting.request.number == number; });
}

bool share_owner::remove_waiter(helpers::router_id from, reservation_number number) {
    const auto queue = this->waiters.find(from);
    if (queue == this->waiters.end())
        return false;
    const auto removed = std::erase_if(
        queue->second, [&](const waiter& waiting) { return waiting.request.number == number; });
    this->waiting_count -= removed;
    if (queue->second.empty())
        this->waiters.erase(queue);
    return removed > 0;
}

// Serves the routers' queues round-robin, so that one router's queue does not block the other ones.
void share_owner::serve_waiters() {
    std::size_t failed_attempts = 0;
    while (this->active && failed_attempts < std::min(max_failed_attempts, this->waiters.size())) {
        auto next = this->waiters.upper_bound(this->last_served);
        if (next == this->waiters.end())
            next = this->waiters.begin();
        this->last_served = next->first;
        const auto served = this->serve_first_waiter(next->first, next->second);
        if (next->second.empty())
            this->waiters.erase(next);
        failed_attempts = served ? 0 : failed_attempts + 1;
    }
}

bool share_owner::serve_first_waiter(helpers::router_id from, std::deque<waiter>& queue) {
    const auto now = this->time.now();
    while (!queue.empty() && queue.front().expires_at <= now) {
        queue.pop_front();
        --this->waiting_count;
    }
    if (queue.empty() || !this->lenders.lends(from, now))
        return false;
    auto first = queue.front().request;
    first.remaining = queue.front().expires_at - now;
    if (!this->try_grant(from, first))
        return false;
    queue.pop_front();
    --this->waiting_count;
    return true;
}

void share_owner::remove_expired() {
    const auto now = this->time.now();
    std::vector<std::pair<helpers::router_id, reservation_number>> expired;
    for (const auto& [router, router_records] : this->records) {
        for (const auto& [number, record] : router_records) {
            if (record.expires_at <= now)
                expired.emplace_back(router, number);
        }
    }
    for (const auto& [router, number] : expired)
        this->remove_record(router, number, admission::release::result::cancelled, {});
}

bool share_owner::has_unwitnessed_grants() const {
    for (const auto& [router, router_records] : this->records) {
        if (!this->lenders.same_domain(router, this->view.self().id))
            continue;
        const auto unwitnessed = [](const auto& item) {
            return !item.second.awaits_witness && !item.second.witnessed;
        };
        if (std::any_of(router_records.begin(), router_records.end(), unwitnessed))
            return true;
    }
    return false;
}

// Requeues grants whose witness does not reply, and sends the record of a grant whose witness was
// lost or is leaving to another witness.
void share_owner::check_witnesses() {
    const auto now = this->time.now();
    std::vector<std::pair<helpers::router_id, reservation_number>> timed_out;
    for (auto& [router, router_records] : this->records) {
        for (auto& [number, record] : router_records) {
            if (record.awaits_witness && now - record.sent_at >= this->timing.witness_retry)
                timed_out.emplace_back(router, number);
            if (record.awaits_witness || !this->lenders.same_domain(router, this->view.self().id) ||
                (this->lenders.may_witness(record.witness, now) &&
                 (record.witnessed || now - record.sent_at < this->timing.witness_retry)))
                continue;
            const auto replacement = this->lenders.choose_witness(this->shard, router, now);
            if (!replacement)
                continue;
            if (record.witness.value != 0)
                this->mailbox.to(record.witness)
                    .witness_drops.push_back({this->shard, router, number});
            this->send_to_witness(record, *replacement);
        }
    }
    for (const auto& [router, number] : timed_out)
        this->requeue_grant(router, number);
}

} // namespace samphirespool::ownership
