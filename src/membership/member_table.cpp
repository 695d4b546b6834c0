// Merges, changes and disseminates member records.
#include "membership/member_table.hpp"

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

namespace samphirespool::membership {

namespace {

// An update is sent this many times for each doubling of the fleet.
constexpr std::size_t update_retransmit_factor = 3;

std::uint64_t mix(std::uint64_t value) {
    value ^= value >> 31;
    value *= 0x9e3779b97f4a7c15ULL;
    return value ^ (value >> 29);
}

bool is_dead(const member_record& record) {
    return record.health >= member_health::dead;
}

// Suspicions are short and members remove dead records at different times, so neither counts as a
// difference between tables.
std::uint64_t hash_of(const member_record& record) {
    if (is_dead(record))
        return 0;
    auto hash = mix(record.id.value);
    hash = mix(hash ^ record.incarnation.value);
    hash = mix(hash ^ record.sequence);
    return mix(hash ^ (static_cast<std::uint64_t>(record.state) << 8));
}

auto precedence_of(const member_record& record) {
    return std::tuple(record.incarnation, record.sequence, record.health);
}

} // namespace

bool supersedes(const member_record& received, const member_record& known) {
    return precedence_of(received) > precedence_of(known);
}

member_table::member_table(const kernel::clock& time, const member_record& self)
    : time(time), self_id(self.id) {
    this->store(self);
    this->schedule_update(self.id);
}

void member_table::on_change(std::function<void(helpers::router_id, const member*)> listener) {
    this->listeners.push_back(std::move(listener));
}

bool member_table::merge(const member_record& received) {
    if (received.id == this->self_id)
        return this->merge_own_record(received);
    const auto found = this->by_id.find(received.id);
    const auto unknown = found == this->by_id.end();
    if (unknown ? is_dead(received) : !supersedes(received, found->second.record))
        return false;
    this->store(received);
    this->schedule_update(received.id);
    this->notify_listeners(received.id);
    return true;
}

bool member_table::merge_own_record(const member_record& received) {
    auto& own_record = this->own()->record;
    if (received.incarnation > own_record.incarnation) {
        this->newer_incarnation_seen = true;
        return false;
    }
    const auto refuted =
        received.incarnation == own_record.incarnation &&
        received.sequence >= own_record.sequence &&
        (received.health != own_record.health || received.sequence > own_record.sequence);
    if (!refuted)
        return false;
    auto corrected = own_record;
    corrected.sequence = received.sequence + 1;
    this->store(corrected);
    this->schedule_update(this->self_id);
    return true;
}

void member_table::set_health(helpers::router_id id, member_health health) {
    const auto found = this->by_id.find(id);
    if (found == this->by_id.end() || found->second.record.health == health)
        return;
    auto updated = found->second.record;
    updated.health = health;
    this->store(updated);
    this->schedule_update(id);
    this->notify_listeners(id);
}

void member_table::change_self(member_state state, member_health health) {
    auto changed = this->own()->record;
    changed.state = state;
    changed.health = health;
    ++changed.sequence;
    this->store(changed);
    this->schedule_update(this->self_id);
    this->notify_listeners(this->self_id);
}

void member_table::update_configuration(helpers::router_id id,
                                        config::configuration_version version) {
    const auto found = this->by_id.find(id);
    if (found != this->by_id.end())
        found->second.configuration = std::max(found->second.configuration, version);
}

void member_table::remove(helpers::router_id id) {
    const auto found = this->by_id.find(id);
    if (found == this->by_id.end() || id == this->self_id)
        return;
    this->hash_sum -= hash_of(found->second.record);
    this->by_id.erase(found);
    this->send_counts.erase(id);
    for (const auto& listener : this->listeners)
        listener(id, nullptr);
}

std::vector<member_record> member_table::next_updates(std::size_t limit) {
    std::vector<std::pair<std::size_t, helpers::router_id>> order;
    for (const auto& [id, sends] : this->send_counts)
        order.emplace_back(sends, id);
    const auto count = std::min(limit, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count),
                      order.end());
    const auto max_sends = update_retransmit_factor * std::bit_width(this->by_id.size());
    std::vector<member_record> updates;
    for (std::size_t i = 0; i < count; ++i) {
        const auto id = order[i].second;
        updates.push_back(this->by_id.at(id).record);
        if (++this->send_counts[id] >= max_sends)
            this->send_counts.erase(id);
    }
    return updates;
}

std::size_t member_table::live_count() const {
    const auto live = [](const auto& entry) { return entry.second.is_live(); };
    return static_cast<std::size_t>(std::count_if(this->by_id.begin(), this->by_id.end(), live));
}

void member_table::store(const member_record& updated) {
    const auto [position, added] = this->by_id.try_emplace(updated.id);
    auto& entry = position->second;
    if (!added)
        this->hash_sum -= hash_of(entry.record);
    if (added || entry.record.health != updated.health ||
        entry.record.incarnation != updated.incarnation)
        entry.health_since = this->time.now();
    if (!added && entry.record.incarnation != updated.incarnation)
        entry.configuration = 0;
    entry.record = updated;
    this->hash_sum += hash_of(updated);
}

void member_table::notify_listeners(helpers::router_id id) {
    const auto& entry = this->by_id.at(id);
    for (const auto& listener : this->listeners)
        listener(id, &entry);
}

} // namespace samphirespool::membership
