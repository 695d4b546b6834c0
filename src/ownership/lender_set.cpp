// Leases, completeness and usable shares.
#include "ownership/lender_set.hpp"

#include <algorithm>

namespace samphirespool::ownership {

using membership::member_health;

void lender_set::set_roster(const membership::roster& fresh, helpers::time_point now) {
    this->roster = fresh;
    const auto& members = this->roster.members;
    this->several_data_centres =
        std::any_of(members.begin(), members.end(), [&](const auto& entry) {
            return entry.data_centre != members.front().data_centre;
        });
    if (!fresh.settled)
        return;
    this->settled_at = now;
    for (auto& [id, entry] : this->lenders) {
        entry.clean = false;
        entry.encumbered_until = std::max(entry.encumbered_until, now + this->timing.longest_grant);
    }
}

helpers::time_point lender_set::lease_end(const promise_item& promise) const {
    return promise.time + this->timing.lease - this->timing.drift_margin;
}

lender* lender_set::take_registration(helpers::router_id from, helpers::incarnation incarnation,
                                      const promise_item& promise, helpers::time_point now) {
    if (!this->is_member(from) || promise.time > now || this->lease_end(promise) <= now)
        return nullptr;
    const auto found = this->lenders.find(from);
    const auto known = found != this->lenders.end() && found->second.incarnation == incarnation;
    const auto released = this->released_at.find(from);
    if ((known && promise.time <= found->second.registered_at) ||
        (released != this->released_at.end() && promise.time <= released->second))
        return nullptr;
    lender fresh;
    fresh.incarnation = incarnation;
    fresh.lease_until = this->lease_end(promise);
    fresh.registered_at = promise.time;
    fresh.has_full_history = promise.has_full_history;
    fresh.encumbered_until =
        std::max(now + promise.encumbered, this->settled_at + this->timing.longest_grant);
    fresh.clean = known && promise.continuous && found->second.clean;
    return &this->lenders.insert_or_assign(from, fresh).first->second;
}

lender* lender_set::renew(helpers::router_id from, helpers::incarnation incarnation,
                          const promise_item& promise, helpers::time_point now) {
    auto* known = this->find(from);
    if (known == nullptr || known->incarnation != incarnation || promise.time > now ||
        promise.time < known->registered_at)
        return nullptr;
    known->lease_until = std::max(known->lease_until, this->lease_end(promise));
    return known;
}

const lender* lender_set::find(helpers::router_id id) const {
    const auto found = this->lenders.find(id);
    return found == this->lenders.end() ? nullptr : &found->second;
}

lender* lender_set::find(helpers::router_id id) {
    const auto found = this->lenders.find(id);
    return found == this->lenders.end() ? nullptr : &found->second;
}

bool lender_set::lends(helpers::router_id id, helpers::time_point now) const {
    const auto* known = this->find(id);
    return known != nullptr && known->lends(now);
}

bool lender_set::is_over(helpers::router_id id) const {
    const auto* known = this->view.find(id);
    return known != nullptr && known->record.health >= member_health::stopped;
}

std::string lender_set::domain_of(helpers::router_id id) const {
    const auto* entry = this->roster.find(id);
    if (entry == nullptr)
        return {};
    return this->several_data_centres ? entry->data_centre : std::to_string(id.value);
}

lender_set::missing_members lender_set::find_missing(helpers::time_point now) const {
    missing_members result;
    const auto lose_knowledge_of = [&](helpers::router_id id) {
        const auto its = this->domain_of(id);
        if (result.domain.empty())
            result.domain = its;
        result.knowledge_in_one_domain = result.knowledge_in_one_domain && result.domain == its;
    };
    const auto consider = [&](helpers::router_id id) {
        const auto* known = this->find(id);
        if (known != nullptr && known->lends(now)) {
            if (!known->has_full_history)
                lose_knowledge_of(id);
            return;
        }
        lose_knowledge_of(id);
        result.any_silent = result.any_silent || !this->is_over(id);
    };
    for (const auto& entry : this->roster.members)
        consider(entry.id);
    for (const auto& entry : this->roster.previous) {
        if (!this->is_member(entry.id))
            consider(entry.id);
    }
    return result;
}

bool lender_set::complete(helpers::time_point now) const {
    if (this->roster.version == 0)
        return false;
    const auto missing = this->find_missing(now);
    return !missing.any_silent || missing.knowledge_in_one_domain;
}

std::vector<helpers::router_id> lender_set::usable(helpers::time_point now) {
    std::vector<helpers::router_id> result;
    if (this->roster.version == 0)
        return result;
    const auto missing = this->find_missing(now);
    for (const auto& entry : this->roster.members) {
        auto* known = this->find(entry.id);
        if (known != nullptr && known->lends(now)) {
            known->clean = known->clean || missing.knows_uses_of(this->domain_of(entry.id)) ||
                           known->encumbered_until <= now;
            if (known->clean)
                result.push_back(entry.id);
            continue;
        }
        // With every living member lending here, no one else can use the share of a process that
        // is over.
        if (!missing.any_silent && this->is_over(entry.id))
            result.push_back(entry.id);
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
    const auto* known = this->view.find(id);
    return this->lends(id, now) && known != nullptr &&
           known->record.state != membership::member_state::leaving;
}

std::optional<helpers::router_id> lender_set::choose_witness(shard_id shard,
                                                             helpers::router_id requester,
                                                             helpers::time_point now) const {
    std::optional<helpers::router_id> best;
    for (const auto& [id, entry] : this->lenders) {
        if (!this->may_witness(id, now) || this->same_domain(id, requester))
            continue;
        if (!best || owner_score(shard, id) > owner_score(shard, *best))
            best = id;
    }
    return best;
}

} // namespace samphirespool::ownership
