// Grants, witnesses and waiting requests of an owner.
#include "ownership/share_owner.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::ownership {

namespace {

constexpr std::size_t max_waiting = 20'000;
// Bounds the work after one slot became free.
constexpr std::size_t max_vain_tries = 64;

} // namespace

void share_owner::on_reserve(helpers::router_id from, helpers::incarnation incarnation,
                             const reserve_item& item) {
    if (!this->is_open)
        return;
    const auto* known = this->lenders.find(from);
    if (known == nullptr || known->incarnation != incarnation || !known->lends(this->time.now())) {
        this->challenge(from, true);
        return;
    }
    auto& own = this->records[from];
    const auto found = own.find(item.number);
    if (found != own.end()) {
        if (!found->second.pending)
            this->hand_over(found->second);
        return;
    }
    const auto waiting = this->waits(from, item.number);
    if (!waiting && this->try_grant(from, item))
        return;
    const auto queued = item.may_wait && this->waiting_count < max_waiting;
    if (queued && !waiting)
        this->wait(from, item);
    this->mailbox.to(from).no_capacity.push_back(
        {this->shard, item.number, queued, item.sponsored});
}

bool share_owner::try_grant(helpers::router_id from, const reserve_item& item) {
    const auto now = this->time.now();
    this->refresh();
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
    record.ends = now + item.remaining + this->timing.end_grace;
    record.candidates = item.candidates;
    record.hints = item.hints;
    record.may_wait = item.may_wait;
    auto& stored = this->records[from].emplace(item.number, std::move(record)).first->second;
    // What only routers of one domain knew would be lost with them.
    const auto self = this->view.self().id;
    const auto witness = this->lenders.same_domain(from, self)
                             ? this->lenders.choose_witness(this->shard, from, now)
                             : std::nullopt;
    stored.pending = witness.has_value();
    if (witness)
        this->ask_witness(stored, *witness);
    else
        this->hand_over(stored);
    return true;
}

void share_owner::ask_witness(grant_record& record, helpers::router_id witness) {
    const auto now = this->time.now();
    record.witness = witness;
    record.witnessed = false;
    record.asked_at = now;
    auto content = record.content;
    content.remaining = record.ends - now;
    this->mailbox.to(witness).witnesses.push_back({this->shard, content});
    ++this->counted.witnessed;
}

void share_owner::hand_over(grant_record& record) {
    record.pending = false;
    record.granted_at = this->time.now();
    const auto& content = record.content;
    this->mailbox.to(content.requester)
        .grants.push_back({this->shard, content.number, content.target, record.granted_at,
                           content.incarnation, content.allowance, content.sponsored});
    ++this->counted.grants;
}

void share_owner::on_witness_answer(helpers::router_id from, const witness_reply_item& item) {
    const auto of_router = this->records.find(item.requester);
    if (!this->is_open || of_router == this->records.end())
        return;
    const auto found = of_router->second.find(item.number);
    if (found == of_router->second.end() || found->second.witness != from)
        return;
    found->second.witnessed = item.accepted;
    if (!found->second.pending)
        return;
    if (item.accepted && this->lenders.lends(item.requester, this->time.now()))
        this->hand_over(found->second);
    else
        this->take_back(item.requester, item.number);
}

// A grant that was not handed over waits again.
void share_owner::take_back(helpers::router_id requester, reservation_number number) {
    const auto& record = this->records[requester][number];
    reserve_item again;
    again.shard = this->shard;
    again.number = number;
    again.cost = record.content.cost;
    again.remaining = record.ends - this->timing.end_grace - this->time.now();
    again.may_wait = record.may_wait;
    again.sponsored = record.content.sponsored;
    again.candidates = record.candidates;
    again.hints = record.hints;
    this->end_record(requester, number, admission::release::result::not_sent, {});
    if (again.may_wait)
        this->wait(requester, again);
}

void share_owner::on_finish(helpers::router_id from, const finish_item& item) {
    if (!this->is_open)
        return;
    if (!this->drop_waiter(from, item.number))
        this->end_record(from, item.number, item.result, item.first_byte);
    this->serve_waiters();
}

void share_owner::end_record(helpers::router_id requester, reservation_number number,
                             admission::release::result how, helpers::duration first_byte) {
    const auto of_router = this->records.find(requester);
    if (of_router == this->records.end())
        return;
    const auto found = of_router->second.find(number);
    if (found != of_router->second.end()) {
        const auto& record = found->second;
        const auto target = record.content.target;
        this->ledger.finish(target, record.content.cost, how, first_byte, this->time.now());
        this->ledger.set_slot_limit(
            target, this->lenders.slots(this->counted_routers, this->ledger.allowance(target)));
        if (record.witness.value != 0)
            this->mailbox.to(record.witness)
                .witness_drops.push_back({this->shard, requester, number});
        of_router->second.erase(found);
    }
    if (of_router->second.empty())
        this->records.erase(of_router);
}

void share_owner::wait(helpers::router_id from, const reserve_item& item) {
    this->waiters[from].push_back({item, this->time.now() + item.remaining});
    ++this->waiting_count;
    ++this->counted.queued;
}

bool share_owner::waits(helpers::router_id from, reservation_number number) const {
    const auto queue = this->waiters.find(from);
    if (queue == this->waiters.end())
        return false;
    return std::any_of(queue->second.begin(), queue->second.end(),
                       [&](const waiter& waiting) { return waiting.request.number == number; });
}

bool share_owner::drop_waiter(helpers::router_id from, reservation_number number) {
    const auto queue = this->waiters.find(from);
    if (queue == this->waiters.end())
        return false;
    const auto dropped = std::erase_if(
        queue->second, [&](const waiter& waiting) { return waiting.request.number == number; });
    this->waiting_count -= dropped;
    if (queue->second.empty())
        this->waiters.erase(queue);
    return dropped > 0;
}

// Routers take turns, so that the queue of one does not hold up the others.
void share_owner::serve_waiters() {
    std::size_t vain = 0;
    while (this->is_open && vain < std::min(max_vain_tries, this->waiters.size())) {
        auto next = this->waiters.upper_bound(this->last_served);
        if (next == this->waiters.end())
            next = this->waiters.begin();
        this->last_served = next->first;
        const auto served = this->serve_first_of(next->first, next->second);
        if (next->second.empty())
            this->waiters.erase(next);
        vain = served ? 0 : vain + 1;
    }
}

bool share_owner::serve_first_of(helpers::router_id from, std::deque<waiter>& queue) {
    const auto now = this->time.now();
    while (!queue.empty() && queue.front().ends <= now) {
        queue.pop_front();
        --this->waiting_count;
    }
    if (queue.empty() || !this->lenders.lends(from, now))
        return false;
    auto first = queue.front().request;
    first.remaining = queue.front().ends - now;
    if (!this->try_grant(from, first))
        return false;
    queue.pop_front();
    --this->waiting_count;
    return true;
}

void share_owner::expire() {
    const auto now = this->time.now();
    std::vector<std::pair<helpers::router_id, reservation_number>> ended;
    for (const auto& [router, of_router] : this->records) {
        for (const auto& [number, record] : of_router) {
            if (record.ends <= now)
                ended.emplace_back(router, number);
        }
    }
    for (const auto& [router, number] : ended)
        this->end_record(router, number, admission::release::result::cancelled, {});
}

bool share_owner::has_unwitnessed() const {
    for (const auto& [router, of_router] : this->records) {
        if (!this->lenders.same_domain(router, this->view.self().id))
            continue;
        const auto alone = [](const auto& item) {
            return !item.second.pending && !item.second.witnessed;
        };
        if (std::any_of(of_router.begin(), of_router.end(), alone))
            return true;
    }
    return false;
}

// Takes back what a witness does not answer, and finds another for what a lost one knew.
void share_owner::check_witnesses() {
    const auto now = this->time.now();
    std::vector<std::pair<helpers::router_id, reservation_number>> unanswered;
    for (auto& [router, of_router] : this->records) {
        for (auto& [number, record] : of_router) {
            if (record.pending && now - record.asked_at >= this->timing.witness_retry)
                unanswered.emplace_back(router, number);
            if (record.pending || !this->lenders.same_domain(router, this->view.self().id) ||
                (this->lenders.may_witness(record.witness, now) &&
                 (record.witnessed || now - record.asked_at < this->timing.witness_retry)))
                continue;
            const auto other = this->lenders.choose_witness(this->shard, router, now);
            if (!other)
                continue;
            if (record.witness.value != 0)
                this->mailbox.to(record.witness)
                    .witness_drops.push_back({this->shard, router, number});
            this->ask_witness(record, *other);
        }
    }
    for (const auto& [router, number] : unanswered)
        this->take_back(router, number);
}

} // namespace samphirespool::ownership
