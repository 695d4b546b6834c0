// Probes, acknowledgements, suspicion and reconnection.
#include "membership/failure_detector.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace samphirespool::membership {

namespace {

// Records per message, so that the message size does not depend on the fleet.
constexpr std::size_t max_updates = 6;
constexpr std::size_t max_sync_records = 64;
constexpr std::size_t max_indirect_probes = 3;
constexpr std::size_t max_leave_messages = 5;

template <class Item>
void shuffle(std::vector<Item>& items, kernel::random_source& random) {
    for (std::size_t i = items.size(); i > 1; --i)
        std::swap(items[i - 1], items[random.below(i)]);
}

} // namespace

failure_detector::failure_detector(const kernel::clock& time, kernel::random_source& random,
                                   message_outbox& outbox, member_table& table,
                                   std::vector<helpers::endpoint> seeds, detector_timing timing)
    : time(time),
      random(random),
      outbox(outbox),
      table(table),
      seeds(std::move(seeds)),
      timing(timing),
      last_number(random.next() >> 1),
      last_tick(time.now()),
      next_probe(time.now()),
      next_reconnect_probe(time.now()),
      next_sync_at(time.now()) {
    std::erase(this->seeds, table.self().address);
}

void failure_detector::tick() {
    const auto now = this->time.now();
    if (now - this->last_tick > this->timing.max_tick_gap)
        this->resume_after_pause();
    this->last_tick = now;
    this->check_pending();
    this->check_suspects();
    if (now >= this->next_probe) {
        this->next_probe = now + this->timing.probe_interval;
        this->remove_expired();
        this->probe_next();
    }
    if (now >= this->next_reconnect_probe) {
        const auto alone = this->table.live_count() <= 1;
        this->next_reconnect_probe =
            now + (alone ? this->timing.probe_interval : this->timing.reconnect_interval);
        this->probe_unreachable();
    }
}

// While this process was paused it could not receive acks, so it withdraws its suspicions and
// probes the suspects again.
void failure_detector::resume_after_pause() {
    this->pending.clear();
    this->next_probe = this->time.now();
    this->next_reconnect_probe = this->time.now();
    this->next_sync_at = this->time.now();
    std::vector<helpers::router_id> suspects;
    for (const auto& [id, entry] : this->table.members()) {
        if (entry.record.health == member_health::suspect)
            suspects.push_back(id);
    }
    for (const auto id : suspects) {
        this->table.set_health(id, member_health::alive);
        this->probe(id);
    }
}

void failure_detector::check_pending() {
    const auto now = this->time.now();
    std::vector<std::uint64_t> failed;
    for (auto& [number, probe] : this->pending) {
        const auto waited = now - probe.sent;
        if (waited >= 2 * this->timing.ack_timeout) {
            failed.push_back(number);
        } else if (waited >= this->timing.ack_timeout && !probe.indirect_sent) {
            probe.indirect_sent = true;
            this->send_indirect_probes(number, probe);
        }
    }
    for (const auto number : failed) {
        const auto probe = this->pending.extract(number).mapped();
        const auto* target = this->table.find(probe.target);
        const auto own = probe.origin_number == 0;
        if (own && target != nullptr && target->record.health == member_health::alive)
            this->table.set_health(probe.target, member_health::suspect);
        // A suspect is probed again until the suspicion timeout, so that it can refute.
        if (own && target != nullptr && target->record.health == member_health::suspect)
            this->probe(probe.target);
    }
}

void failure_detector::check_suspects() {
    const auto limit = this->time.now() - this->timing.suspicion_timeout;
    std::vector<helpers::router_id> expired;
    for (const auto& [id, entry] : this->table.members()) {
        if (entry.record.health == member_health::suspect && entry.health_since <= limit)
            expired.push_back(id);
    }
    for (const auto id : expired)
        this->table.set_health(id, member_health::dead);
}

void failure_detector::remove_expired() {
    const auto limit = this->time.now() - this->timing.dead_retention;
    std::vector<helpers::router_id> old;
    for (const auto& [id, entry] : this->table.members()) {
        if (!entry.is_live() && entry.health_since <= limit)
            old.push_back(id);
    }
    for (const auto id : old)
        this->table.remove(id);
}

// Probes every live member once per round, in a new random order each round.
void failure_detector::probe_next() {
    while (true) {
        if (this->round.empty()) {
            for (const auto* other : this->live_peers())
                this->round.push_back(other->record.id);
            shuffle(this->round, this->random);
        }
        if (this->round.empty())
            return;
        const auto id = this->round.back();
        this->round.pop_back();
        const auto* target = this->table.find(id);
        if (target == nullptr || !target->is_live())
            continue;
        this->probe(id);
        return;
    }
}

void failure_detector::probe(helpers::router_id id) {
    const auto* target = this->table.find(id);
    const auto is_in_flight = [&](const auto& entry) {
        return entry.second.target == id && entry.second.origin_number == 0;
    };
    if (target == nullptr || id == this->table.self().id ||
        std::any_of(this->pending.begin(), this->pending.end(), is_in_flight))
        return;
    this->start_probe({target->record.address, id, this->time.now(), false, {}, 0});
}

// Pings a random seed or dead member, by which the other side of a partition or a restarted router
// is found again.
void failure_detector::probe_unreachable() {
    auto addresses = this->seeds;
    for (const auto& [id, entry] : this->table.members()) {
        if (entry.record.health == member_health::dead ||
            entry.record.health == member_health::stopped)
            addresses.push_back(entry.record.address);
    }
    std::erase_if(addresses, [&](const auto& address) {
        const auto* known = this->find_by_address(address);
        return known != nullptr && known->is_live();
    });
    if (addresses.empty())
        return;
    const auto& address = addresses[this->random.below(addresses.size())];
    const auto* known = this->find_by_address(address);
    this->outbox.send(address, this->prepare(message_type::ping, ++this->last_number, known));
}

void failure_detector::start_probe(pending_probe probe) {
    const auto number = ++this->last_number;
    const auto* target = this->table.find(probe.target);
    this->outbox.send(probe.address, this->prepare(message_type::ping, number, target));
    this->pending.emplace(number, std::move(probe));
}

void failure_detector::send_indirect_probes(std::uint64_t number, const pending_probe& probe) {
    if (probe.origin_number != 0)
        return;
    auto peers = this->live_peers();
    std::erase_if(peers, [&](const member* m) { return m->record.id == probe.target; });
    shuffle(peers, this->random);
    if (peers.size() > max_indirect_probes)
        peers.resize(max_indirect_probes);
    for (const auto* helper : peers) {
        auto request = this->prepare(message_type::ping_request, number, helper);
        request.target = probe.address;
        request.target_id = probe.target;
        this->outbox.send(helper->record.address, request);
    }
}

void failure_detector::on_message(const helpers::endpoint& from, const message& received) {
    for (const auto& update : received.updates)
        this->table.merge(update);
    this->table.update_configuration(received.sender, received.configuration);
    switch (received.type) {
    case message_type::ping:
        this->acknowledge(from, received.number);
        break;
    case message_type::ping_request:
        this->handle_ping_request(from, received);
        break;
    case message_type::ack:
        this->handle_ack(received);
        break;
    case message_type::sync_request:
        this->send_table(from);
        break;
    default:
        break;
    }
    this->sync_if_different(from, received);
}

void failure_detector::acknowledge(const helpers::endpoint& to, std::uint64_t number) {
    auto ack = this->prepare(message_type::ack, number, this->find_by_address(to));
    ack.target_id = this->table.self().id;
    this->outbox.send(to, ack);
}

void failure_detector::handle_ping_request(const helpers::endpoint& from, const message& received) {
    this->start_probe(
        {received.target, received.target_id, this->time.now(), true, from, received.number});
}

void failure_detector::handle_ack(const message& received) {
    const auto found = this->pending.find(received.number);
    if (found == this->pending.end())
        return;
    const auto probe = this->pending.extract(found).mapped();
    if (probe.origin_number == 0)
        return;
    auto forwarded = this->prepare(message_type::ack, probe.origin_number, nullptr);
    forwarded.target_id = probe.target;
    this->outbox.send(probe.origin, forwarded);
}

void failure_detector::send_table(const helpers::endpoint& to) {
    auto content = this->prepare(message_type::sync, 0, nullptr);
    content.updates.clear();
    for (const auto& [id, entry] : this->table.members()) {
        content.updates.push_back(entry.record);
        if (content.updates.size() < max_sync_records)
            continue;
        this->outbox.send(to, content);
        content.updates.clear();
    }
    if (!content.updates.empty())
        this->outbox.send(to, content);
}

void failure_detector::sync_if_different(const helpers::endpoint& with, const message& received) {
    const auto now = this->time.now();
    if (received.digest == 0 || received.digest == this->table.digest() || now < this->next_sync_at)
        return;
    this->next_sync_at = now + this->timing.min_sync_interval;
    auto request = this->prepare(message_type::sync_request, 0, nullptr);
    request.digest = 0;
    this->outbox.send(with, request);
}

message failure_detector::prepare(message_type type, std::uint64_t number, const member* receiver) {
    message result;
    result.type = type;
    result.sender = this->table.self().id;
    result.number = number;
    result.configuration = this->configuration;
    result.digest = this->table.digest();
    result.updates = this->table.next_updates(max_updates);
    const auto add = [&](const member_record& record) {
        const auto listed =
            std::any_of(result.updates.begin(), result.updates.end(),
                        [&](const member_record& update) { return update.id == record.id; });
        if (!listed)
            result.updates.push_back(record);
    };
    // A receiver that may not know this router gets its record; one that is seen as failed gets its
    // own record, which it can refute.
    if (receiver == nullptr || receiver->record.health != member_health::alive)
        add(this->table.self());
    if (receiver != nullptr && receiver->record.health != member_health::alive)
        add(receiver->record);
    return result;
}

const member* failure_detector::find_by_address(const helpers::endpoint& address) const {
    const member* found = nullptr;
    for (const auto& [id, entry] : this->table.members()) {
        if (entry.record.address == address && (found == nullptr || entry.is_live()))
            found = &entry;
    }
    return found;
}

std::vector<const member*> failure_detector::live_peers() const {
    std::vector<const member*> peers;
    for (const auto& [id, entry] : this->table.members()) {
        if (entry.is_live() && id != this->table.self().id)
            peers.push_back(&entry);
    }
    return peers;
}

void failure_detector::on_connection_refused(const helpers::endpoint& address) {
    const auto* stopped = this->find_by_address(address);
    if (stopped != nullptr && stopped->record.health < member_health::stopped &&
        stopped->record.id != this->table.self().id)
        this->table.set_health(stopped->record.id, member_health::stopped);
}

void failure_detector::leave() {
    this->table.change_self(member_state::leaving, member_health::left);
    auto peers = this->live_peers();
    shuffle(peers, this->random);
    if (peers.size() > max_leave_messages)
        peers.resize(max_leave_messages);
    for (const auto* other : peers) {
        this->table.schedule_update(this->table.self().id);
        this->outbox.send(other->record.address,
                          this->prepare(message_type::ping, ++this->last_number, other));
    }
}

void failure_detector::apply_vm_list(const std::vector<helpers::vm_entry>& vms) {
    std::set<std::string_view> listed;
    for (const auto& vm : vms)
        listed.insert(vm.name);
    std::vector<helpers::router_id> stopped;
    for (const auto& [id, entry] : this->table.members()) {
        if (entry.record.health == member_health::dead && !listed.contains(entry.record.name))
            stopped.push_back(id);
    }
    for (const auto id : stopped)
        this->table.set_health(id, member_health::stopped);
}

} // namespace samphirespool::membership
