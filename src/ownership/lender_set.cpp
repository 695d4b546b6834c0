// Maintains the leases and computes completeness and usable shares.
#include "ownership/lender_set.hpp"

#include <algorithm>

namespace samphirespool::ownership {

using membership::member_health;

void lender_set::set_roster(const membership::roster& updated, helpers::time_point now) {
    this->roster = updated;
    const auto& members = this->roster.members;
    this->several_data_centres =
        std::any_of(members.begin(), members.end(), [&](const auto& entry) {
            return entry.data_centre != members.front().data_centre;
        });
    if (!updated.settled)
        return;
    this->settled_at = now;
    for (auto& [id, entry] : this->by_router) {
        entry.uses_known = false;
        entry.encumbered_until =
            std::max(entry.encumbered_until, now + this->timing.max_grant_duration);
    }
}

helpers::time_point lender_set::lease_end(const promise_item& promise) const {
    return promise.time + this->timing.lease - this->timing.drift_margin;
}

lender* lender_set::add_registration(helpers::router_id from, helpers::incarnation incarnation,
                                     const promise_item& promise, helpers::time_point now) {
    if (!this->is_member(from) || promise.time > now || this->lease_end(promise) <= now)
        return nullptr;
    const auto found = this->by_router.find(from);
    const auto is_same_incarnation =
        found != this->by_router.end() && found->second.incarnation == incarnation;
    const auto released = this->released_at.find(from);
    if ((is_same_incarnation && promise.time <= found->second.registered_at) ||
        (released != this->released_at.end() && promise.time <= released->second))
        return nullptr;
    lender added;
    added.incarnation = incarnation;
    added.lease_until = this->lease_end(promise);
    added.registered_at = promise.time;
    added.has_full_history = promise.has_full_history;
    added.encumbered_until =
        std::max(now + promise.encumbered, this->settled_at + this->timing.max_grant_duration);
    added.uses_known = is_same_incarnation && promise.continuous && found->second.uses_known;
    return &this->by_router.insert_or_assign(from, added).first->second;
}

lender* lender_set::renew(helpers::router_id from, helpers::incarnation incarnation,
                          const promise_item& promise, helpers::time_point now) {
    auto* entry = this->find(from);
    if (entry == nullptr || entry->incarnation != incarnation || promise.time > now ||
        promise.time < entry->registered_at)
        return nullptr;
    entry->lease_until = std::max(entry->lease_until, this->lease_end(promise));
    return entry;
}

const lender* lender_set::find(helpers::router_id id) const {
    const auto found = this->by_router.find(id);
    return found == this->by_router.end() ? nullptr : &found->second;
}

lender* lender_set::find(helpers::router_id id) {
    const auto found = this->by_router.find(id);
    return found == this->by_router.end() ? nullptr : &found->second;
}

bool lender_set::lends(helpers::router_id id, helpers::time_point now) const {
    const auto* entry = this->find(id);
    return entry != nullptr && entry->lends(now);
}

bool lender_set::has_stopped(helpers::router_id id) const {
    const auto* member = this->view.find(id);
    return member != nullptr && member->record.health >= member_health::stopped;
}

std::string lender_set::domain_of(helpers::router_id id) const {
    const auto* entry = this->roster.find(id);
    if (entry == nullptr)
        return {};
    return this->several_data_centres ? entry->data_centre : std::to_string(id.value);
}

lender_set::missing_members lender_set::find_missing(helpers::time_point now) const {
    missing_members result;
    const auto add_missing = [&](helpers::router_id id) {
        const auto domain = this->domain_of(id);
        if (result.domain.empty())
            result.domain = domain;
        result.knowledge_in_one_domain = result.knowledge_in_one_domain && result.domain == domain;
    };
    const auto check_router = [&](helpers::router_id id) {
        const auto* entry = this->find(id);
        if (entry != nullptr && entry->lends(now)) {
            if (!entry->has_full_history)
                add_missing(id);
            return;
        }
        add_missing(id);
        result.any_not_lending = result.any_not_lending || !this->has_stopped(id);
    };
    for (const auto& entry : this->roster.members)
        check_router(entry.id);
    for (const auto& entry : this->roster.previous) {
        if (!this->is_member(entry.id))
            check_router(entry.id);
    }
    return result;
}

bool lender_set::complete(helpers::time_point now) const {
    if (this->roster.version == 0)
        return false;
    const auto missing = this->find_missing(now);
    return !missing.any_not_lending || missing.knowledge_in_one_domain;
}

std::vector<helpers::router_id> lender_set::usable(helpers::time_point now) {
    std::vector<helpers::router_id> result;
    if (this->roster.version == 0)
        return result;
    const auto missing = this->find_missing(now);
    for (const auto& member : this->roster.members) {
        auto* entry = this->find(member.id);
        if (entry != nullptr && entry->lends(now)) {
            entry->uses_known = entry->uses_known ||
                                missing.knows_uses_of(this->domain_of(member.id)) ||
                                entry->encumbered_until <= now;
            if (entry->uses_known)
                result.push_back(member.id);
            continue;
        }
        // Every running member lends to this owner, so no other owner can use the share of a
        // process that has stopped.
        if (!missing.any_not_lending && this->has_stopped(member.id))
            result.push_back(member.id);
    }
    return result;
}

std::uint32_t lender_set::slots(const std::vector<helpers::router_id>& usable_routers,
                                std::uint32_t capacity) const {
    std::uint32_t sum = 0;
    for (const auto id : usable_routers)
        sum += membership::usable_share(this->roster, id, capacity);
    return sum;
}

bool lender_set::may_witness(helpers::router_id id, helpers::time_point now) const {
    const auto* member = this->view.find(id);
    return this->lends(id, now) && member != nullptr &&
           member->record.state != membership::member_state::leaving;
}

std::optional<helpers::router_id> lender_set::choose_witness(shard_id shard,
                                                             helpers::router_id requester,
                                                             helpers::time_point now) const {
    std::optional<helpers::router_id> best;
    for (const auto& [id, entry] : this->by_router) {
        if (!this->may_witness(id, now) || this->same_domain(id, requester))
            continue;
        if (!best || owner_score(shard, id) > owner_score(shard, *best))
            best = id;
    }
    return best;
}

} // namespace samphirespool::ownership
