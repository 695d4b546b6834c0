// Following, promising, registering, and the entry side of reservations.
#include "ownership/share_follower.hpp"

#include <algorithm>

namespace samphirespool::ownership {

using membership::member_health;

namespace {

// Stands for "until this router's place in the roster is renewed".
constexpr auto never_by_time = helpers::duration(std::chrono::hours(24));

} // namespace

share_follower::share_follower(const kernel::clock& time, const membership::membership_view& view,
                               share_mailbox& mailbox, const share_timing& timing,
                               reservation_table& reservations, books kept, shard_id shard)
    : time(time),
      view(view),
      mailbox(mailbox),
      timing(timing),
      reservations(reservations),
      kept(kept),
      shard(shard),
      started(time.now()),
      desired_since(time.now()),
      not_before(time.now()),
      encumbered_until(time.now() + timing.lease + timing.longest_grant) {}

void share_follower::set_roster(const membership::roster& fresh) {
    this->roster = fresh;
    if (fresh.settled)
        this->encumbered_until = this->time.now() + this->timing.longest_grant;
}

void share_follower::set_desired(std::optional<helpers::router_id> owner) {
    if (owner != this->desired) {
        this->desired = owner;
        this->desired_since = this->time.now();
    }
    this->reconsider();
}

std::optional<helpers::router_id> share_follower::owner() const {
    return this->now_following ? std::optional(this->now_following->id) : std::nullopt;
}

bool share_follower::follows(helpers::router_id id, helpers::incarnation incarnation) const {
    return this->now_following && !this->now_following->leaving && this->now_following->id == id &&
           this->now_following->registered && this->now_following->incarnation == incarnation;
}

// The process that was followed has ended, so it counts on nothing any more.
bool share_follower::owner_is_over() const {
    const auto& owner = *this->now_following;
    const auto* known = this->view.find(owner.id);
    if (known == nullptr)
        return false;
    return known->record.health >= member_health::stopped ||
           (owner.incarnation.value != 0 && known->record.incarnation > owner.incarnation);
}

bool share_follower::should_move() const {
    const auto& owner = *this->now_following;
    if (!this->desired || *this->desired == owner.id)
        return false;
    const auto* known = this->view.find(owner.id);
    const auto leaving =
        known != nullptr && known->record.state == membership::member_state::leaving;
    return leaving || this->time.now() - this->desired_since >= this->timing.stable_view;
}

void share_follower::reconsider() {
    const auto now = this->time.now();
    if (this->now_following) {
        auto& owner = *this->now_following;
        const auto elsewhere = this->desired && *this->desired != owner.id;
        const auto lapsed = owner.promised_until <= now;
        if (this->owner_is_over() || (lapsed && elsewhere)) {
            this->stop_following();
        } else if (this->should_move()) {
            const auto ask = !owner.leaving || now - owner.asked_at >= this->timing.follow_retry;
            owner.leaving = true;
            if (ask) {
                owner.asked_at = now;
                this->mailbox.to(owner.id).unfollows.push_back({this->shard});
            }
            if (lapsed)
                this->stop_following();
        }
    }
    if (!this->now_following && this->desired && now >= this->not_before &&
        this->own_entry() != nullptr)
        this->start_following(*this->desired);
}

void share_follower::start_following(helpers::router_id id) {
    const auto now = this->time.now();
    following fresh;
    fresh.id = id;
    fresh.asked_at = now;
    fresh.promised_until = now;
    this->now_following = fresh;
    this->mailbox.to(id).follows.push_back({this->shard});
}

void share_follower::on_challenge(helpers::router_id from, helpers::incarnation incarnation,
                                  const challenge_item& item) {
    if (!this->now_following || this->now_following->id != from || this->now_following->leaving) {
        this->mailbox.to(from).unfollows.push_back({this->shard});
        return;
    }
    auto& owner = *this->now_following;
    if (incarnation < owner.incarnation || this->own_entry() == nullptr)
        return;
    if (incarnation != owner.incarnation)
        owner.registered = false;
    owner.incarnation = incarnation;
    owner.promised_until = this->time.now() + this->timing.lease;
    if (!owner.registered || item.register_again) {
        this->register_with(item);
        return;
    }
    owner.confirmed = item.time > owner.registered_at;
    this->mailbox.to(from).promises.push_back(this->make_promise(item, false));
}

void share_follower::register_with(const challenge_item& item) {
    auto& owner = *this->now_following;
    const auto now = this->time.now();
    if (owner.registered && item.time <= owner.registered_at)
        return;
    const auto same = this->last_id == owner.id && this->last_incarnation == owner.incarnation;
    if (!same)
        this->encumbered_until = std::max(this->encumbered_until, now + this->timing.longest_grant);
    auto promise = this->make_promise(item, true);
    promise.continuous = same;
    this->last_id = owner.id;
    this->last_incarnation = owner.incarnation;
    owner.registered = true;
    owner.confirmed = false;
    owner.registered_at = item.time;
    this->mailbox.to(owner.id).promises.push_back(std::move(promise));
    for (auto& [number, wanted] : this->reservations.all()) {
        if (wanted.request.shard == this->shard && !wanted.granted)
            this->ask(wanted);
    }
}

promise_item share_follower::make_promise(const challenge_item& item, bool registers) const {
    const auto now = this->time.now();
    promise_item promise;
    promise.shard = this->shard;
    promise.time = item.time;
    promise.owner_incarnation = this->now_following->incarnation;
    promise.registers = registers;
    promise.has_full_history = this->has_full_history();
    const auto* entry = this->own_entry();
    const auto renewed = entry != nullptr && entry->incarnation == this->view.self().incarnation;
    promise.encumbered =
        renewed ? std::max(helpers::duration::zero(), this->encumbered_until - now) : never_by_time;
    for (const auto& [number, own] : this->reservations.all()) {
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
        this->kept.granted.append_to(promise.records, this->shard, now);
        this->kept.witnessed.append_to(promise.records, this->shard, now);
    }
    return promise;
}

const membership::roster_entry* share_follower::own_entry() const {
    return this->roster.find(this->view.self().id);
}

// A process that started anew in the place of an earlier one does not know what that one knew.
bool share_follower::has_full_history() const {
    const auto* entry = this->own_entry();
    const auto same_incarnation =
        entry != nullptr && entry->incarnation == this->view.self().incarnation;
    return same_incarnation || this->time.now() - this->started >= this->timing.longest_grant;
}

void share_follower::on_released(helpers::router_id from, const released_item& item) {
    if (!this->now_following || this->now_following->id != from ||
        (this->now_following->registered && item.time <= this->now_following->registered_at))
        return;
    this->stop_following();
    this->reconsider();
}

// A grant from an owner that is not followed any more, or from before the registration, may be
// unknown to the present owner and is dropped.
void share_follower::on_grant(helpers::router_id from, helpers::incarnation incarnation,
                              const grant_item& item) {
    if (!this->follows(from, incarnation) || item.time <= this->now_following->registered_at)
        return;
    auto* wanted = this->reservations.find(item.number);
    if (wanted == nullptr || wanted->deadline <= this->time.now()) {
        this->finish({this->shard, item.number, admission::release::result::not_sent, {}, false});
        return;
    }
    if (wanted->granted)
        return;
    wanted->granted = true;
    wanted->target = item.target;
    wanted->incarnation = item.incarnation;
    wanted->allowance = item.allowance;
    const auto notify = wanted->listener.on_grant;
    notify(item);
}

void share_follower::on_full(helpers::router_id from, const no_capacity_item& item) {
    auto* wanted = this->reservations.find(item.number);
    if (wanted == nullptr || wanted->granted || this->owner() != from)
        return;
    wanted->queued = item.queued;
    const auto notify = wanted->listener.on_full;
    notify(item);
}

void share_follower::ask(reservation& wanted) {
    const auto now = this->time.now();
    if (!this->registered() || this->now_following->leaving || wanted.deadline <= now)
        return;
    wanted.asked_at = now;
    auto item = wanted.request;
    item.remaining = wanted.deadline - now;
    this->mailbox.to(this->now_following->id).reserves.push_back(std::move(item));
}

// The grant was noted with the owner that is followed now; a former owner learns nothing.
void share_follower::finish(const finish_item& ended) {
    if (this->registered())
        this->mailbox.to(this->now_following->id).finishes.push_back(ended);
}

void share_follower::tick() {
    this->reconsider();
    if (!this->now_following)
        return;
    const auto now = this->time.now();
    auto& owner = *this->now_following;
    const auto silent = !owner.registered || owner.promised_until <= now;
    if (silent && now - owner.asked_at >= this->timing.follow_retry) {
        owner.asked_at = now;
        this->mailbox.to(owner.id).follows.push_back({this->shard});
    }
    if (!owner.registered)
        return;
    for (auto& [number, wanted] : this->reservations.all()) {
        const auto pause = wanted.queued ? this->timing.queued_retry : this->timing.reserve_retry;
        if (wanted.request.shard == this->shard && !wanted.granted &&
            now - wanted.asked_at >= pause)
            this->ask(wanted);
    }
}

} // namespace samphirespool::ownership
