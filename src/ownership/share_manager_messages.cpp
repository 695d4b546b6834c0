// The way of messages and reservations through a share manager.
#include "ownership/share_manager.hpp"

#include <vector>

namespace samphirespool::ownership {

void share_manager::on_message(const share_message& received) {
    // What an earlier process of the router said must not count for the present one.
    const auto* sender = this->view.find(received.sender);
    if (sender != nullptr && sender->record.incarnation > received.incarnation)
        return;
    if (this->view_changed)
        this->update_owners();
    this->take_lease_items(received);
    this->take_witness_items(received);
    this->take_reservation_items(received);
}

void share_manager::take_lease_items(const share_message& received) {
    const auto from = received.sender;
    for (const auto& item : received.follows) {
        if (auto* state = this->own_shard(item.shard))
            state->owner->on_follow(from, received.incarnation);
    }
    for (const auto& item : received.challenges) {
        auto* state = this->own_shard(item.shard);
        if (state == nullptr)
            continue;
        state->load = {item.load_tokens, item.warm_targets};
        state->follower->on_challenge(from, received.incarnation, item);
    }
    for (const auto& item : received.promises) {
        if (auto* state = this->own_shard(item.shard))
            state->owner->on_promise(from, received.incarnation, item);
    }
    for (const auto& item : received.unfollows) {
        if (auto* state = this->own_shard(item.shard))
            state->owner->on_unfollow(from);
    }
    for (const auto& item : received.released) {
        auto* state = this->own_shard(item.shard);
        if (state == nullptr)
            continue;
        state->follower->on_released(from, item);
        this->follow_own_part(item.shard, *state);
    }
}

void share_manager::take_witness_items(const share_message& received) {
    const auto now = this->loop.time().now();
    for (const auto& item : received.witnesses) {
        const auto* state = this->own_shard(item.shard);
        const auto accepted =
            state != nullptr && state->follower->follows(received.sender, received.incarnation);
        if (accepted)
            this->witnessed.add(item.shard, item.record, now);
        this->to(received.sender)
            .witness_replies.push_back(
                {item.shard, item.record.requester, item.record.number, accepted});
    }
    for (const auto& item : received.witness_replies) {
        if (auto* state = this->own_shard(item.shard))
            state->owner->on_witness_answer(received.sender, item);
    }
    for (const auto& item : received.witness_drops)
        this->witnessed.drop(item.shard, item.requester, item.number);
}

void share_manager::take_reservation_items(const share_message& received) {
    const auto from = received.sender;
    for (const auto& item : received.reserves)
        this->take_reserve(from, received.incarnation, item);
    for (const auto& item : received.grants) {
        auto* state = this->own_shard(item.shard);
        if (this->sponsored.find(item.number) != nullptr || state == nullptr ||
            this->is_former_grant(item))
            this->take_sponsored_grant(from, item);
        else
            state->follower->on_grant(from, received.incarnation, item);
    }
    for (const auto& item : received.no_capacity) {
        auto* state = this->own_shard(item.shard);
        if (this->sponsored.find(item.number) != nullptr)
            this->take_sponsored_full(item);
        else if (state != nullptr)
            state->follower->on_full(from, item);
    }
    for (const auto& item : received.finishes) {
        auto* state = this->own_shard(item.shard);
        // The roster here may have had the router as a member before that router knew.
        if (item.sponsored && this->sponsor.on_finish(from, item))
            continue;
        if (state != nullptr && state->owner->open_now())
            state->owner->on_finish(from, item);
        else
            this->granted.drop(item.shard, from, item.number);
    }
}

// Only members sponsor: two routers that are none would pass a request on to each other for ever.
void share_manager::take_reserve(helpers::router_id from, helpers::incarnation incarnation,
                                 const reserve_item& item) {
    auto* state = this->own_shard(item.shard);
    if (state == nullptr)
        return;
    if (!item.sponsored || this->roster.find(from) != nullptr)
        state->owner->on_reserve(from, incarnation, item);
    else if (this->reserves_itself(*state))
        this->sponsor.on_reserve(from, item, this->loop.time().now());
}

// Whether a sponsor gave the grant for a request that this router has taken into its own hands.
bool share_manager::is_former_grant(const grant_item& item) {
    const auto* own = this->reservations.find(item.number);
    return own != nullptr && item.sponsored && !own->request.sponsored;
}

bool share_manager::reserves_itself(const shard_state& state) const {
    return state.follower && this->roster.find(this->view.self().id) != nullptr;
}

reservation_number share_manager::start(reservation fresh) {
    const auto found = this->states.find(fresh.request.shard);
    if (found != this->states.end() && this->reserves_itself(found->second)) {
        auto& wanted = this->reservations.add(std::move(fresh));
        found->second.follower->ask(wanted);
        return wanted.request.number;
    }
    fresh.request.sponsored = true;
    auto& wanted = this->sponsored.add(std::move(fresh));
    this->ask_sponsor(wanted);
    return wanted.request.number;
}

// Different routers choose different sponsors.
std::optional<helpers::router_id> share_manager::sponsor_for(helpers::region_id region) const {
    std::optional<helpers::router_id> best;
    const shard_id salt{this->view.self().id.value};
    for (const auto& [id, candidate] : this->view.members()) {
        const auto& record = candidate.record;
        if (record.health != membership::member_health::alive ||
            record.state != membership::member_state::ready || id == this->view.self().id ||
            helpers::id_of<helpers::region_id>(record.region) != region)
            continue;
        if (region == this->own_region && this->roster.find(id) == nullptr)
            continue;
        if (!best || owner_score(salt, id) > owner_score(salt, *best))
            best = id;
    }
    return best;
}

void share_manager::ask_sponsor(reservation& wanted) {
    const auto now = this->loop.time().now();
    wanted.asked_at = now;
    const auto state = this->states.find(wanted.request.shard);
    if (state == this->states.end() || wanted.deadline <= now)
        return;
    const auto member = this->sponsor_for(state->second.region);
    if (!member)
        return;
    auto& asked = this->sponsors[wanted.request.number];
    if (asked.value != 0 && asked != *member)
        this->to(asked).finishes.push_back({wanted.request.shard,
                                            wanted.request.number,
                                            admission::release::result::not_sent,
                                            {},
                                            true});
    asked = *member;
    auto item = wanted.request;
    item.remaining = wanted.deadline - now;
    this->to(*member).reserves.push_back(std::move(item));
}

// A router that has become a member reserves for itself what waits at a sponsor. The sponsor would
// take a repeat for the request of a member to the owner.
void share_manager::adopt_sponsored() {
    std::vector<reservation_number> adopted;
    for (const auto& [number, wanted] : this->sponsored.all()) {
        const auto* state = this->own_shard(wanted.request.shard);
        if (!wanted.granted && state != nullptr && this->reserves_itself(*state))
            adopted.push_back(number);
    }
    for (const auto number : adopted) {
        auto& wanted = this->reservations.adopt(number, this->sponsored);
        wanted.request.sponsored = false;
        wanted.queued = false;
        const auto member = this->sponsors.extract(number);
        if (!member.empty())
            this->to(member.mapped())
                .finishes.push_back(
                    {wanted.request.shard, number, admission::release::result::not_sent, {}, true});
        this->own_shard(wanted.request.shard)->follower->ask(wanted);
    }
}

void share_manager::retry_sponsored() {
    this->adopt_sponsored();
    const auto now = this->loop.time().now();
    for (auto& [number, wanted] : this->sponsored.all()) {
        const auto pause = wanted.queued ? this->timing.queued_retry : this->timing.reserve_retry;
        if (!wanted.granted && now - wanted.asked_at >= pause)
            this->ask_sponsor(wanted);
    }
}

void share_manager::take_sponsored_grant(helpers::router_id from, const grant_item& item) {
    auto* wanted = this->sponsored.find(item.number);
    const auto asked = this->sponsors.find(item.number);
    const auto from_asked = asked != this->sponsors.end() && asked->second == from;
    if (wanted == nullptr || !from_asked || wanted->deadline <= this->loop.time().now()) {
        this->to(from).finishes.push_back(
            {item.shard, item.number, admission::release::result::not_sent, {}, item.sponsored});
        return;
    }
    if (wanted->granted)
        return;
    wanted->granted = true;
    wanted->target = item.target;
    const auto notify = wanted->listener.on_grant;
    notify(item);
}

void share_manager::take_sponsored_full(const no_capacity_item& item) {
    auto* wanted = this->sponsored.find(item.number);
    if (wanted == nullptr || wanted->granted)
        return;
    wanted->queued = item.queued;
    const auto notify = wanted->listener.on_full;
    notify(item);
}

void share_manager::finish(reservation_number number, admission::release::result how,
                           helpers::duration first_byte) {
    if (const auto* held = this->reservations.find(number)) {
        const finish_item ended{held->request.shard, number, how, first_byte, false};
        this->reservations.erase(number);
        if (auto* state = this->own_shard(ended.shard))
            state->follower->finish(ended);
        return;
    }
    const auto* held = this->sponsored.find(number);
    if (held == nullptr)
        return;
    const auto member = this->sponsors.extract(number);
    if (!member.empty())
        this->to(member.mapped())
            .finishes.push_back({held->request.shard, number, how, first_byte, true});
    this->sponsored.erase(number);
}

} // namespace samphirespool::ownership
