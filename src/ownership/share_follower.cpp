// Follows an owner, sends promises and registrations, and requests grants.
#include "ownership/share_follower.hpp"

#include <algorithm>

namespace samphirespool::ownership {

using membership::member_health;

namespace {

// Sent as the encumbrance of a share whose roster entry names an earlier incarnation: it ends when
// the entry is renewed, not by time.
constexpr auto encumbered_indefinitely = helpers::duration(std::chrono::hours(24));

} // namespace

share_follower::share_follower(const kernel::clock& time, const membership::membership_view& view,
                               share_mailbox& mailbox, const share_timing& timing,
                               reservation_table& reservations, grant_tables tables, shard_id shard)
    : time(time),
      view(view),
      mailbox(mailbox),
      timing(timing),
      reservations(reservations),
      tables(tables),
      shard(shard),
      started_at(time.now()),
      desired_since(time.now()),
      follow_not_before(time.now()),
      encumbered_until(time.now() + timing.lease + timing.max_grant_duration) {}

void share_follower::set_roster(const membership::roster& updated) {
    this->roster = updated;
    if (updated.settled)
        this->encumbered_until = this->time.now() + this->timing.max_grant_duration;
}

void share_follower::set_desired_owner(std::optional<helpers::router_id> owner) {
    if (owner != this->desired_owner) {
        this->desired_owner = owner;
        this->desired_since = this->time.now();
    }
    this->update_owner();
}

std::optional<helpers::router_id> share_follower::owner() const {
    return this->current_owner ? std::optional(this->current_owner->id) : std::nullopt;
}

bool share_follower::follows(helpers::router_id id, helpers::incarnation incarnation) const {
    return this->current_owner && !this->current_owner->unfollowing &&
           this->current_owner->id == id && this->current_owner->registered &&
           this->current_owner->incarnation == incarnation;
}

// Whether the process of the current owner has stopped, so that it uses no share any more.
bool share_follower::owner_has_stopped() const {
    const auto& owner = *this->current_owner;
    const auto* member = this->view.find(owner.id);
    if (member == nullptr)
        return false;
    return member->record.health >= member_health::stopped ||
           (owner.incarnation.value != 0 && member->record.incarnation > owner.incarnation);
}

bool share_follower::should_change_owner() const {
    const auto& owner = *this->current_owner;
    if (!this->desired_owner || *this->desired_owner == owner.id)
        return false;
    const auto* member = this->view.find(owner.id);
    const auto leaving =
        member != nullptr && member->record.state == membership::member_state::leaving;
    return leaving || this->time.now() - this->desired_since >= this->timing.min_stable_view;
}

void share_follower::update_owner() {
    const auto now = this->time.now();
    if (this->current_owner) {
        auto& owner = *this->current_owner;
        const auto wants_another = this->desired_owner && *this->desired_owner != owner.id;
        const auto expired = owner.promised_until <= now;
        if (this->owner_has_stopped() || (expired && wants_another)) {
            this->stop_following();
        } else if (this->should_change_owner()) {
            const auto is_due =
                !owner.unfollowing || now - owner.sent_at >= this->timing.follow_retry;
            owner.unfollowing = true;
            if (is_due) {
                owner.sent_at = now;
                this->mailbox.to(owner.id).unfollows.push_back({this->shard});
            }
            if (expired)
                this->stop_following();
        }
    }
    if (!this->current_owner && this->desired_owner && now >= this->follow_not_before &&
        this->own_entry() != nullptr)
        this->start_following(*this->desired_owner);
}

void share_follower::start_following(helpers::router_id id) {
    const auto now = this->time.now();
    owner_state started;
    started.id = id;
    started.sent_at = now;
    started.promised_until = now;
    this->current_owner = started;
    this->mailbox.to(id).follows.push_back({this->shard});
}

void share_follower::on_challenge(helpers::router_id from, helpers::incarnation incarnation,
                                  const challenge_item& item) {
    if (!this->current_owner || this->current_owner->id != from ||
        this->current_owner->unfollowing) {
        this->mailbox.to(from).unfollows.push_back({this->shard});
        return;
    }
    auto& owner = *this->current_owner;
    if (incarnation < owner.incarnation || this->own_entry() == nullptr)
        return;
    if (incarnation != owner.incarnation)
        owner.registered = false;
    owner.incarnation = incarnation;
    owner.promised_until = this->time.now() + this->timing.lease;
    if (!owner.registered || item.register_again) {
        this->send_registration(item);
        return;
    }
    owner.confirmed = item.time > owner.registered_at;
    this->mailbox.to(from).promises.push_back(this->make_promise(item, false));
}

void share_follower::send_registration(const challenge_item& item) {
    auto& owner = *this->current_owner;
    const auto now = this->time.now();
    if (owner.registered && item.time <= owner.registered_at)
        return;
    const auto is_same_owner =
        this->last_owner == owner.id && this->last_owner_incarnation == owner.incarnation;
    if (!is_same_owner)
        this->encumbered_until =
            std::max(this->encumbered_until, now + this->timing.max_grant_duration);
    auto promise = this->make_promise(item, true);
    promise.continuous = is_same_owner;
    this->last_owner = owner.id;
    this->last_owner_incarnation = owner.incarnation;
    owner.registered = true;
    owner.confirmed = false;
    owner.registered_at = item.time;
    this->mailbox.to(owner.id).promises.push_back(std::move(promise));
    for (auto& [number, pending] : this->reservations.entries()) {
        if (pending.request.shard == this->shard && !pending.granted)
            this->request_grant(pending);
    }
}

promise_item share_follower::make_promise(const challenge_item& item, bool registers) const {
    const auto now = this->time.now();
    promise_item promise;
    promise.shard = this->shard;
    promise.time = item.time;
    promise.owner_incarnation = this->current_owner->incarnation;
    promise.registers = registers;
    promise.has_full_history = this->has_full_history();
    const auto* entry = this->own_entry();
    const auto is_current = entry != nullptr && entry->incarnation == this->view.self().incarnation;
    promise.encumbered = is_current
                             ? std::max(helpers::duration::zero(), this->encumbered_until - now)
                             : encumbered_indefinitely;
    for (const auto& [number, own] : this->reservations.entries()) {
        if (own.request.shard != this->shard || !own.granted)
            continue;
        ++promise.count;
        promise.hash += mix(number);
        if (registers)
            promise.records.push_back({this->view.self().id, number, own.target, own.incarnation,
                                       own.request.cost, own.allowance,
                                       std::max(helpers::duration::zero(), own.deadline - now),
                                       own.request.sponsored});
    }
    if (registers) {
        this->tables.granted.append_to(promise.records, this->shard, now);
        this->tables.witnessed.append_to(promise.records, this->shard, now);
    }
    return promise;
}

const membership::roster_entry* share_follower::own_entry() const {
    return this->roster.find(this->view.self().id);
}

// A restarted process does not know the grants that its predecessor knew; they have expired once
// it has run for max_grant_duration.
bool share_follower::has_full_history() const {
    const auto* entry = this->own_entry();
    const auto same_incarnation =
        entry != nullptr && entry->incarnation == this->view.self().incarnation;
    return same_incarnation ||
           this->time.now() - this->started_at >= this->timing.max_grant_duration;
}

void share_follower::on_released(helpers::router_id from, const released_item& item) {
    if (!this->current_owner || this->current_owner->id != from ||
        (this->current_owner->registered && item.time <= this->current_owner->registered_at))
        return;
    this->stop_following();
    this->update_owner();
}

// A grant from a former owner, or from before the registration, may be unknown to the current owner
// and is dropped.
void share_follower::on_grant(helpers::router_id from, helpers::incarnation incarnation,
                              const grant_item& item) {
    if (!this->follows(from, incarnation) || item.time <= this->current_owner->registered_at)
        return;
    auto* pending = this->reservations.find(item.number);
    if (pending == nullptr || pending->deadline <= this->time.now()) {
        this->finish({this->shard, item.number, admission::release::result::not_sent, {}, false});
        return;
    }
    if (pending->granted)
        return;
    pending->granted = true;
    pending->target = item.target;
    pending->incarnation = item.incarnation;
    pending->allowance = item.allowance;
    const auto notify = pending->listener.on_grant;
    notify(item);
}

void share_follower::on_no_capacity(helpers::router_id from, const no_capacity_item& item) {
    auto* pending = this->reservations.find(item.number);
    if (pending == nullptr || pending->granted || this->owner() != from)
        return;
    pending->queued = item.queued;
    const auto notify = pending->listener.on_no_capacity;
    notify(item);
}

void share_follower::request_grant(reservation& pending) {
    const auto now = this->time.now();
    if (!this->registered() || this->current_owner->unfollowing || pending.deadline <= now)
        return;
    pending.sent_at = now;
    auto item = pending.request;
    item.remaining = pending.deadline - now;
    this->mailbox.to(this->current_owner->id).reserves.push_back(std::move(item));
}

// The current owner has a record of the grant since the registration. A former owner is not
// notified.
void share_follower::finish(const finish_item& finished) {
    if (this->registered())
        this->mailbox.to(this->current_owner->id).finishes.push_back(finished);
}

void share_follower::tick() {
    this->update_owner();
    if (!this->current_owner)
        return;
    const auto now = this->time.now();
    auto& owner = *this->current_owner;
    const auto unconfirmed = !owner.registered || owner.promised_until <= now;
    if (unconfirmed && now - owner.sent_at >= this->timing.follow_retry) {
        owner.sent_at = now;
        this->mailbox.to(owner.id).follows.push_back({this->shard});
    }
    if (!owner.registered)
        return;
    for (auto& [number, pending] : this->reservations.entries()) {
        const auto retry_interval =
            pending.queued ? this->timing.queued_retry : this->timing.reserve_retry;
        if (pending.request.shard == this->shard && !pending.granted &&
            now - pending.sent_at >= retry_interval)
            this->request_grant(pending);
    }
}

} // namespace samphirespool::ownership
