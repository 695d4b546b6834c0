// Maintains the shards of one router and batches its messages.
#include "ownership/share_manager.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace samphirespool::ownership {

using membership::member_health;
using membership::member_state;

namespace {

// Makes the numbers of sponsored reservations differ from those of direct ones.
constexpr std::uint64_t sponsored_number_salt = 0x5350;
// For work that is not needed on every tick.
constexpr auto slow_tick_interval = std::chrono::milliseconds(400);

bool may_own(const membership::member& candidate, helpers::region_id region) {
    const auto& record = candidate.record;
    return record.health == member_health::alive && record.state == member_state::ready &&
           helpers::id_of<helpers::region_id>(record.region) == region;
}

} // namespace

share_manager::share_manager(kernel::loop& loop, membership::membership_view& view,
                             share_outbox& outbox, share_timing timing)
    : loop(loop),
      view(view),
      outbox(outbox),
      timing(timing),
      own_region(helpers::id_of<helpers::region_id>(view.self().region)),
      reservations(view.self().incarnation),
      sponsored_reservations(
          helpers::incarnation{view.self().incarnation.value ^ sponsored_number_salt}),
      sponsor(*this, *this),
      next_slow_tick(loop.time().now()) {
    this->view.on_change([this](helpers::router_id id, const membership::member* now) {
        this->view_changed = true;
        if (now == nullptr || now->record.health >= member_health::stopped)
            this->stopped_routers.push_back(id);
    });
    this->tick_timer = this->loop.schedule(this->timing.tick_interval, [this] { this->tick(); });
}

share_manager::~share_manager() {
    this->loop.cancel(this->tick_timer);
    this->loop.cancel(this->flush_timer);
}

void share_manager::set_services(std::span<const service_targets> services) {
    std::map<shard_id, shard_state> updated;
    std::set<std::pair<helpers::service_id, helpers::region_id>> known_services;
    for (const auto& [id, state] : this->states)
        known_services.emplace(state.service, state.region);
    this->shard_by_target.clear();
    for (const auto& service : services) {
        const auto count = std::max(1U, service.shards);
        for (std::uint32_t index = 0; index < count; ++index) {
            auto& state = updated[make_shard(service.service, service.region, index, count)];
            state.service = service.service;
            state.region = service.region;
            state.load_multiple = service.load_multiple;
        }
        for (const auto& target : service.targets) {
            const auto index = shard_index(target.id, count);
            const auto shard = make_shard(service.service, service.region, index, count);
            updated[shard].targets.push_back(target);
            this->shard_by_target[target.id] = shard;
        }
    }
    std::erase_if(this->states, [&](const auto& item) { return !updated.contains(item.first); });
    for (auto& [id, state] : updated) {
        const auto resharded =
            !this->states.contains(id) && known_services.contains({state.service, state.region});
        this->add_shard(id, state, resharded);
    }
    for (auto& [number, own] : this->reservations.entries()) {
        const auto shard = own.granted ? this->shard_of(own.target) : std::nullopt;
        if (shard)
            own.request.shard = *shard;
    }
    this->view_changed = true;
}

void share_manager::add_shard(shard_id id, shard_state& updated, bool resharded) {
    auto& state = this->states[id];
    state.service = updated.service;
    state.region = updated.region;
    state.load_multiple = updated.load_multiple;
    state.targets = std::move(updated.targets);
    if (state.region == this->own_region && !state.follower) {
        const auto& time = this->loop.time();
        state.follower = std::make_unique<share_follower>(
            time, this->view, *this, this->timing, this->reservations,
            share_follower::grant_tables{this->former_grants, this->witnessed_grants}, id);
        state.owner = std::make_unique<share_owner>(time, this->view, *this, this->timing, id);
        state.follower->set_roster(this->roster);
        state.owner->set_roster(this->roster);
        if (resharded)
            state.follower->wait_for_earlier_promises();
    }
    if (state.owner)
        state.owner->set_targets(state.targets, state.load_multiple);
}

void share_manager::set_roster(const membership::roster& updated) {
    this->roster = updated;
    for (auto& [id, state] : this->states) {
        if (!state.follower)
            continue;
        state.follower->set_roster(updated);
        state.owner->set_roster(updated);
    }
    this->view_changed = true;
}

std::optional<shard_id> share_manager::shard_of(helpers::target_id target) const {
    const auto found = this->shard_by_target.find(target);
    return found == this->shard_by_target.end() ? std::nullopt : std::optional(found->second);
}

std::optional<helpers::router_id> share_manager::desired_owner(shard_id id) const {
    std::optional<helpers::router_id> best;
    for (const auto& entry : this->roster.members) {
        const auto* candidate = this->view.find(entry.id);
        if (candidate == nullptr || !may_own(*candidate, this->own_region))
            continue;
        if (!best || owner_score(id, entry.id) > owner_score(id, *best))
            best = entry.id;
    }
    return best;
}

// Applies the members' current state to the followers and owners, and deactivates this router's
// owners before it follows others.
void share_manager::update_owners() {
    this->view_changed = false;
    const auto stopped = std::exchange(this->stopped_routers, {});
    for (auto& [id, state] : this->states) {
        if (!state.follower)
            continue;
        for (const auto router : stopped)
            state.owner->on_router_stopped(router);
        state.follower->set_desired_owner(this->desired_owner(id));
        this->update_owner_role(id, state);
    }
    for (const auto router : stopped)
        this->sponsor.on_router_stopped(router);
}

void share_manager::update_owner_role(shard_id id, shard_state& state) {
    const auto follows_itself = state.follower->owner() == this->view.self().id;
    if (follows_itself == state.owner->is_active())
        return;
    if (follows_itself) {
        state.owner->activate();
        return;
    }
    const auto now = this->loop.time().now();
    for (const auto& record : state.owner->deactivate())
        this->former_grants.add(id, record, now);
}

void share_manager::tick() {
    this->tick_timer = this->loop.schedule(this->timing.tick_interval, [this] { this->tick(); });
    if (this->view_changed)
        this->update_owners();
    for (auto& [id, state] : this->states)
        this->update_shard(id, state);
    const auto now = this->loop.time().now();
    if (now < this->next_slow_tick)
        return;
    this->next_slow_tick = now + slow_tick_interval;
    this->distribute_loads();
    this->retry_sponsored();
    this->finish_expired_sponsored();
    this->former_grants.remove_expired(now);
    this->witnessed_grants.remove_expired(now);
}

void share_manager::update_shard(shard_id id, shard_state& state) {
    if (!state.follower)
        return;
    state.follower->tick();
    this->update_owner_role(id, state);
    state.owner->tick();
}

// The capacity of a target depends on the mean load of all of its service's targets in the region.
void share_manager::distribute_loads() {
    for (auto& [id, state] : this->states) {
        if (!state.owner || !state.owner->is_active())
            continue;
        admission::peer_load peer_load;
        for (const auto& [other_id, other] : this->states) {
            if (other_id == id || other.service != state.service || other.region != state.region)
                continue;
            peer_load.tokens += other.load.tokens;
            peer_load.warm_targets += other.load.warm_targets;
        }
        state.owner->set_peer_load(peer_load);
    }
}

// Finishes what this router holds as a sponsor past its deadline: a holder that sends no finish has
// finished its request by then.
void share_manager::finish_expired_sponsored() {
    const auto limit = this->loop.time().now() - this->timing.expiry_grace;
    std::vector<reservation_number> expired;
    for (const auto& [number, own] : this->reservations.entries()) {
        if (own.request.sponsored && own.deadline <= limit)
            expired.push_back(number);
    }
    for (const auto number : expired) {
        this->sponsor.remove(number);
        this->finish(number, admission::release::result::cancelled, {});
    }
}

share_message& share_manager::to(helpers::router_id receiver) {
    if (this->flush_timer == 0)
        this->flush_timer = this->loop.schedule(helpers::duration::zero(), [this] {
            this->flush_timer = 0;
            this->flush();
        });
    return this->batches[receiver];
}

void share_manager::flush() {
    const auto ready = std::exchange(this->batches, {});
    for (const auto& [id, batch] : ready) {
        auto content = batch;
        content.sender = this->view.self().id;
        content.incarnation = this->view.self().incarnation;
        const auto* receiver = this->view.find(id);
        if (id == this->view.self().id)
            this->on_message(content);
        else if (receiver != nullptr)
            this->outbox.send(receiver->record.address, content);
    }
}

bool share_manager::ready_for_roster() const {
    return std::none_of(this->states.begin(), this->states.end(), [&](const auto& item) {
        const auto& state = item.second;
        if (!state.follower)
            return false;
        const auto uses =
            std::any_of(this->reservations.entries().begin(), this->reservations.entries().end(),
                        [&](const auto& own) {
                            return own.second.granted && own.second.request.shard == item.first;
                        });
        return state.owner->has_unwitnessed_grants() || (uses && !state.follower->confirmed());
    });
}

std::vector<helpers::target_id> share_manager::owned_targets() const {
    std::vector<helpers::target_id> owned;
    for (const auto& [id, state] : this->states) {
        if (!state.owner || !state.owner->is_active())
            continue;
        for (const auto& target : state.targets)
            owned.push_back(target.id);
    }
    return owned;
}

bool share_manager::handed_over() const {
    return this->witnessed_grants.size() == 0 &&
           std::none_of(this->states.begin(), this->states.end(), [](const auto& item) {
               return item.second.owner && item.second.owner->is_active();
           });
}

const share_owner* share_manager::owner_of(shard_id shard) const {
    const auto found = this->states.find(shard);
    return found == this->states.end() ? nullptr : found->second.owner.get();
}

std::optional<helpers::router_id> share_manager::followed_owner(shard_id shard) const {
    const auto found = this->states.find(shard);
    if (found == this->states.end() || !found->second.follower)
        return std::nullopt;
    return found->second.follower->registered() ? found->second.follower->owner() : std::nullopt;
}

std::size_t share_manager::outstanding() const {
    const auto granted = [](const auto& table) {
        return std::count_if(table.begin(), table.end(),
                             [](const auto& item) { return item.second.granted; });
    };
    return static_cast<std::size_t>(granted(this->reservations.entries()) +
                                    granted(this->sponsored_reservations.entries()));
}

std::vector<shard_id> share_manager::shards() const {
    std::vector<shard_id> result;
    for (const auto& [id, state] : this->states)
        result.push_back(id);
    return result;
}

void share_manager::on_load_report(helpers::target_id target,
                                   const admission::load_report& report) {
    const auto shard = this->shard_of(target);
    auto* state = shard ? this->own_shard(*shard) : nullptr;
    if (state != nullptr && state->owner->is_active())
        state->owner->on_load_report(target, report);
}

share_manager::shard_state* share_manager::own_shard(shard_id id) {
    const auto found = this->states.find(id);
    return found == this->states.end() || !found->second.follower ? nullptr : &found->second;
}

} // namespace samphirespool::ownership
