// Dispatches messages and routes reservations.
#include "ownership/share_manager.hpp"

#include <vector>

namespace samphirespool::ownership {

void share_manager::on_message(const share_message& received) {
    // Messages of an earlier incarnation must not be attributed to the current one.
    const auto* sender = this->view.find(received.sender);
    if (sender != nullptr && sender->record.incarnation > received.incarnation)
        return;
    if (this->view_changed)
        this->update_owners();
    this->handle_lease_items(received);
    this->handle_witness_items(received);
    this->handle_reservation_items(received);
}

void share_manager::handle_lease_items(const share_message& received) {
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
        this->update_owner_role(item.shard, *state);
    }
}

void share_manager::handle_witness_items(const share_message& received) {
    const auto now = this->loop.time().now();
    for (const auto& item : received.witnesses) {
        const auto* state = this->own_shard(item.shard);
        const auto accepted =
            state != nullptr && state->follower->follows(received.sender, received.incarnation);
        if (accepted)
            this->witnessed_grants.add(item.shard, item.record, now);
        this->to(received.sender)
            .witness_replies.push_back(
                {item.shard, item.record.requester, item.record.number, accepted});
    }
    for (const auto& item : received.witness_replies) {
        if (auto* state = this->own_shard(item.shard))
            state->owner->on_witness_reply(received.sender, item);
    }
    for (const auto& item : received.witness_drops)
        this->witnessed_grants.remove(item.shard, item.requester, item.number);
}

void share_manager::handle_reservation_items(const share_message& received) {
    const auto from = received.sender;
    for (const auto& item : received.reserves)
        this->handle_reserve(from, received.incarnation, item);
    for (const auto& item : received.grants) {
        auto* state = this->own_shard(item.shard);
        if (this->sponsored_reservations.find(item.number) != nullptr || state == nullptr ||
            this->is_superseded_grant(item))
            this->handle_sponsored_grant(from, item);
        else
            state->follower->on_grant(from, received.incarnation, item);
    }
    for (const auto& item : received.no_capacity) {
        auto* state = this->own_shard(item.shard);
        if (this->sponsored_reservations.find(item.number) != nullptr)
            this->handle_sponsored_no_capacity(item);
        else if (state != nullptr)
            state->follower->on_no_capacity(from, item);
    }
    for (const auto& item : received.finishes) {
        auto* state = this->own_shard(item.shard);
        // The router may have been a member in this roster before it received that version itself.
        if (item.sponsored && this->sponsor.on_finish(from, item))
            continue;
        if (state != nullptr && state->owner->is_active())
            state->owner->on_finish(from, item);
        else
            this->former_grants.remove(item.shard, from, item.number);
    }
}

// Only members sponsor: two routers outside the roster would forward a request to each other
// forever.
void share_manager::handle_reserve(helpers::router_id from, helpers::incarnation incarnation,
                                   const reserve_item& item) {
    auto* state = this->own_shard(item.shard);
    if (state == nullptr)
        return;
    if (!item.sponsored || this->roster.find(from) != nullptr)
        state->owner->on_reserve(from, incarnation, item);
    else if (this->reserves_directly(*state))
        this->sponsor.on_reserve(from, item, this->loop.time().now());
}

// Whether a sponsor sent the grant for a reservation that this router now requests from the owner
// itself.
bool share_manager::is_superseded_grant(const grant_item& item) {
    const auto* own = this->reservations.find(item.number);
    return own != nullptr && item.sponsored && !own->request.sponsored;
}

bool share_manager::reserves_directly(const shard_state& state) const {
    return state.follower && this->roster.find(this->view.self().id) != nullptr;
}

reservation_number share_manager::start(reservation added) {
    const auto found = this->states.find(added.request.shard);
    if (found != this->states.end() && this->reserves_directly(found->second)) {
        auto& pending = this->reservations.add(std::move(added));
        found->second.follower->request_grant(pending);
        return pending.request.number;
    }
    added.request.sponsored = true;
    auto& pending = this->sponsored_reservations.add(std::move(added));
    this->send_to_sponsor(pending);
    return pending.request.number;
}

// The ready router of the region with the highest score; in the own region only members of the
// roster are considered. The score depends on this router, so that the sponsored routers spread
// over the sponsors.
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

void share_manager::send_to_sponsor(reservation& pending) {
    const auto now = this->loop.time().now();
    pending.sent_at = now;
    const auto state = this->states.find(pending.request.shard);
    if (state == this->states.end() || pending.deadline <= now)
        return;
    const auto member = this->sponsor_for(state->second.region);
    if (!member)
        return;
    auto& sponsor = this->sponsors[pending.request.number];
    if (sponsor.value != 0 && sponsor != *member)
        this->to(sponsor).finishes.push_back({pending.request.shard,
                                              pending.request.number,
                                              admission::release::result::not_sent,
                                              {},
                                              true});
    sponsor = *member;
    auto item = pending.request;
    item.remaining = pending.deadline - now;
    this->to(*member).reserves.push_back(std::move(item));
}

// A router that has become a member requests from the owner what waits at a sponsor. A retry to the
// sponsor would be treated as a member's request to the owner.
void share_manager::adopt_sponsored() {
    std::vector<reservation_number> adopted;
    for (const auto& [number, pending] : this->sponsored_reservations.entries()) {
        const auto* state = this->own_shard(pending.request.shard);
        if (!pending.granted && state != nullptr && this->reserves_directly(*state))
            adopted.push_back(number);
    }
    for (const auto number : adopted) {
        auto& pending = this->reservations.adopt(number, this->sponsored_reservations);
        pending.request.sponsored = false;
        pending.queued = false;
        const auto member = this->sponsors.extract(number);
        if (!member.empty())
            this->to(member.mapped())
                .finishes.push_back({pending.request.shard,
                                     number,
                                     admission::release::result::not_sent,
                                     {},
                                     true});
        this->own_shard(pending.request.shard)->follower->request_grant(pending);
    }
}

void share_manager::retry_sponsored() {
    this->adopt_sponsored();
    const auto now = this->loop.time().now();
    for (auto& [number, pending] : this->sponsored_reservations.entries()) {
        const auto retry_interval =
            pending.queued ? this->timing.queued_retry : this->timing.reserve_retry;
        if (!pending.granted && now - pending.sent_at >= retry_interval)
            this->send_to_sponsor(pending);
    }
}

void share_manager::handle_sponsored_grant(helpers::router_id from, const grant_item& item) {
    auto* pending = this->sponsored_reservations.find(item.number);
    const auto sponsor = this->sponsors.find(item.number);
    const auto from_sponsor = sponsor != this->sponsors.end() && sponsor->second == from;
    if (pending == nullptr || !from_sponsor || pending->deadline <= this->loop.time().now()) {
        this->to(from).finishes.push_back(
            {item.shard, item.number, admission::release::result::not_sent, {}, item.sponsored});
        return;
    }
    if (pending->granted)
        return;
    pending->granted = true;
    pending->target = item.target;
    const auto notify = pending->listener.on_grant;
    notify(item);
}

void share_manager::handle_sponsored_no_capacity(const no_capacity_item& item) {
    auto* pending = this->sponsored_reservations.find(item.number);
    if (pending == nullptr || pending->granted)
        return;
    pending->queued = item.queued;
    const auto notify = pending->listener.on_no_capacity;
    notify(item);
}

void share_manager::finish(reservation_number number, admission::release::result result,
                           helpers::duration first_byte) {
    if (const auto* own = this->reservations.find(number)) {
        const finish_item finished{own->request.shard, number, result, first_byte, false};
        this->reservations.erase(number);
        if (auto* state = this->own_shard(finished.shard))
            state->follower->finish(finished);
        return;
    }
    const auto* own = this->sponsored_reservations.find(number);
    if (own == nullptr)
        return;
    const auto member = this->sponsors.extract(number);
    if (!member.empty())
        this->to(member.mapped())
            .finishes.push_back({own->request.shard, number, result, first_byte, true});
    this->sponsored_reservations.erase(number);
}

} // namespace samphirespool::ownership
