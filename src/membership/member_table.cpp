// Merges, judges and spreads records.
#include "membership/member_table.hpp"

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

namespace samphirespool::membership {

namespace {

// An update is passed on this many times per doubling of the fleet.
constexpr std::size_t spread_factor = 3;

std::uint64_t mix(std::uint64_t value) {
    value ^= value >> 31;
    value *= 0x9e3779b97f4a7c15ULL;
    return value ^ (value >> 29);
}

bool is_gone(const member_record& record) {
    return record.health >= member_health::dead;
}

// Suspicion passes quickly and members forget the dead at different times, so neither counts as a
// difference between tables.
std::uint64_t hash_of(const member_record& record) {
    if (is_gone(record))
        return 0;
    auto hash = mix(record.id.value);
    hash = mix(hash ^ record.incarnation.value);
    hash = mix(hash ^ record.sequence);
    return mix(hash ^ (static_cast<std::uint64_t>(record.state) << 8));
}

auto age_of(const member_record& record) {
    return std::tuple(record.incarnation, record.sequence, record.health);
}

} // namespace

bool supersedes(const member_record& fresh, const member_record& known) {
    return age_of(fresh) > age_of(known);
}

member_table::member_table(const kernel::clock& time, const member_record& self)
    : time(time), self_id(self.id) {
    this->store(self);
    this->spread(self.id);
}

void member_table::on_change(std::function<void(helpers::router_id, const member*)> listener) {
    this->listeners.push_back(std::move(listener));
}

bool member_table::merge(const member_record& fresh) {
    if (fresh.id == this->self_id)
        return this->merge_self(fresh);
    const auto found = this->known.find(fresh.id);
    const auto unknown = found == this->known.end();
    if (unknown ? is_gone(fresh) : !supersedes(fresh, found->second.record))
        return false;
    this->store(fresh);
    this->spread(fresh.id);
    this->announce(fresh.id);
    return true;
}

bool member_table::merge_self(const member_record& fresh) {
    auto& mine = this->own()->record;
    if (fresh.incarnation > mine.incarnation) {
        this->later_incarnation_seen = true;
        return false;
    }
    const auto refuted = fresh.incarnation == mine.incarnation && fresh.sequence >= mine.sequence &&
                         (fresh.health != mine.health || fresh.sequence > mine.sequence);
    if (!refuted)
        return false;
    auto corrected = mine;
    corrected.sequence = fresh.sequence + 1;
    this->store(corrected);
    this->spread(this->self_id);
    return true;
}

void member_table::judge(helpers::router_id id, member_health health) {
    const auto found = this->known.find(id);
    if (found == this->known.end() || found->second.record.health == health)
        return;
    auto judged = found->second.record;
    judged.health = health;
    this->store(judged);
    this->spread(id);
    this->announce(id);
}

void member_table::change_self(member_state state, member_health health) {
    auto changed = this->own()->record;
    changed.state = state;
    changed.health = health;
    ++changed.sequence;
    this->store(changed);
    this->spread(this->self_id);
    this->announce(this->self_id);
}

void member_table::note_configuration(helpers::router_id id,
                                      config::configuration_version version) {
    const auto found = this->known.find(id);
    if (found != this->known.end())
        found->second.configuration = std::max(found->second.configuration, version);
}

void member_table::forget(helpers::router_id id) {
    const auto found = this->known.find(id);
    if (found == this->known.end() || id == this->self_id)
        return;
    this->hash_sum -= hash_of(found->second.record);
    this->known.erase(found);
    this->passed_on.erase(id);
    for (const auto& listener : this->listeners)
        listener(id, nullptr);
}

std::vector<member_record> member_table::take_updates(std::size_t limit) {
    std::vector<std::pair<std::size_t, helpers::router_id>> order;
    for (const auto& [id, times] : this->passed_on)
        order.emplace_back(times, id);
    const auto taken = std::min(limit, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(taken),
                      order.end());
    const auto enough = spread_factor * std::bit_width(this->known.size());
    std::vector<member_record> updates;
    for (std::size_t i = 0; i < taken; ++i) {
        const auto id = order[i].second;
        updates.push_back(this->known.at(id).record);
        if (++this->passed_on[id] >= enough)
            this->passed_on.erase(id);
    }
    return updates;
}

std::size_t member_table::live_count() const {
    const auto live = [](const auto& entry) { return entry.second.is_live(); };
    return static_cast<std::size_t>(std::count_if(this->known.begin(), this->known.end(), live));
}

void member_table::store(const member_record& fresh) {
    const auto [position, added] = this->known.try_emplace(fresh.id);
    auto& entry = position->second;
    if (!added)
        this->hash_sum -= hash_of(entry.record);
    if (added || entry.record.health != fresh.health ||
        entry.record.incarnation != fresh.incarnation)
        entry.health_since = this->time.now();
    if (!added && entry.record.incarnation != fresh.incarnation)
        entry.configuration = 0;
    entry.record = fresh;
    this->hash_sum += hash_of(fresh);
}

void member_table::announce(helpers::router_id id) {
    const auto& entry = this->known.at(id);
    for (const auto& listener : this->listeners)
        listener(id, &entry);
}

} // namespace samphirespool::membership
