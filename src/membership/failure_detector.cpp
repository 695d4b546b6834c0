// Probes, acknowledgements, suspicion and reunion.
#include "membership/failure_detector.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace samphirespool::membership {

namespace {

constexpr std::size_t max_updates = 6;
constexpr std::size_t max_sync_records = 64;
constexpr std::size_t indirect_probes = 3;
constexpr std::size_t farewells = 5;

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
      next_reunion(time.now()),
      next_sync(time.now()) {
    std::erase(this->seeds, table.self().address);
}

void failure_detector::tick() {
    const auto now = this->time.now();
    if (now - this->last_tick > this->timing.longest_tick_gap)
        this->resume_after_pause();
    this->last_tick = now;
    this->check_pending();
    this->check_suspects();
    if (now >= this->next_probe) {
        this->next_probe = now + this->timing.probe_period;
        this->forget_old();
        this->probe_next();
    }
    if (now >= this->next_reunion) {
        const auto alone = this->table.live_count() <= 1;
        this->next_reunion =
            now + (alone ? this->timing.probe_period : this->timing.reunion_period);
        this->reunite();
    }
}

// While this process stood still nobody could answer it, so it blames nobody for the silence.
void failure_detector::resume_after_pause() {
    this->pending.clear();
    this->next_probe = this->time.now();
    this->next_reunion = this->time.now();
    this->next_sync = this->time.now();
    std::vector<helpers::router_id> suspects;
    for (const auto& [id, entry] : this->table.members()) {
        if (entry.record.health == member_health::suspect)
            suspects.push_back(id);
    }
    for (const auto id : suspects) {
        this->table.judge(id, member_health::alive);
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
        } else if (waited >= this->timing.ack_timeout && !probe.asked_others) {
            probe.asked_others = true;
            this->ask_others(number, probe);
        }
    }
    for (const auto number : failed) {
        const auto probe = this->pending.extract(number).mapped();
        const auto* target = this->table.find(probe.target);
        const auto own = probe.asker_number == 0;
        if (own && target != nullptr && target->record.health == member_health::alive)
            this->table.judge(probe.target, member_health::suspect);
        // A suspect gets further chances to refute until its time is over.
        if (own && target != nullptr && target->record.health == member_health::suspect)
            this->probe(probe.target);
    }
}

void failure_detector::check_suspects() {
    const auto limit = this->time.now() - this->timing.suspicion;
    std::vector<helpers::router_id> condemned;
    for (const auto& [id, entry] : this->table.members()) {
        if (entry.record.health == member_health::suspect && entry.health_since <= limit)
            condemned.push_back(id);
    }
    for (const auto id : condemned)
        this->table.judge(id, member_health::dead);
}

void failure_detector::forget_old() {
    const auto limit = this->time.now() - this->timing.remember_dead;
    std::vector<helpers::router_id> old;
    for (const auto& [id, entry] : this->table.members()) {
        if (!entry.is_live() && entry.health_since <= limit)
            old.push_back(id);
    }
    for (const auto id : old)
        this->table.forget(id);
}

// Every live member is probed once a round; the order is new in each round.
void failure_detector::probe_next() {
    while (true) {
        if (this->round.empty()) {
            for (const auto* other : this->live_others())
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
    const auto under_way = [&](const auto& entry) {
        return entry.second.target == id && entry.second.asker_number == 0;
    };
    if (target == nullptr || id == this->table.self().id ||
        std::any_of(this->pending.begin(), this->pending.end(), under_way))
        return;
    this->start_probe({target->record.address, id, this->time.now(), false, {}, 0});
}

// Pings a seed or a dead member: that is how a parted side or a returned router is found again.
void failure_detector::reunite() {
    auto addresses = this->seeds;
    for (const auto& [id, entry] : this->table.members()) {
        if (entry.record.health == member_health::dead ||
            entry.record.health == member_health::stopped)
            addresses.push_back(entry.record.address);
    }
    std::erase_if(addresses, [&](const auto& address) {
        const auto* known = this->by_address(address);
        return known != nullptr && known->is_live();
    });
    if (addresses.empty())
        return;
    const auto& address = addresses[this->random.below(addresses.size())];
    const auto* known = this->by_address(address);
    this->outbox.send(address, this->prepare(message_type::ping, ++this->last_number, known));
}

void failure_detector::start_probe(pending_probe probe) {
    const auto number = ++this->last_number;
    const auto* target = this->table.find(probe.target);
    this->outbox.send(probe.address, this->prepare(message_type::ping, number, target));
    this->pending.emplace(number, std::move(probe));
}

void failure_detector::ask_others(std::uint64_t number, const pending_probe& probe) {
    if (probe.asker_number != 0)
        return;
    auto others = this->live_others();
    std::erase_if(others, [&](const member* m) { return m->record.id == probe.target; });
    shuffle(others, this->random);
    if (others.size() > indirect_probes)
        others.resize(indirect_probes);
    for (const auto* helper : others) {
        auto request = this->prepare(message_type::ping_request, number, helper);
        request.target = probe.address;
        request.target_id = probe.target;
        this->outbox.send(helper->record.address, request);
    }
}

void failure_detector::on_message(const helpers::endpoint& from, const message& received) {
    for (const auto& update : received.updates)
        this->table.merge(update);
    this->table.note_configuration(received.sender, received.configuration);
    switch (received.type) {
    case message_type::ping:
        this->acknowledge(from, received.number);
        break;
    case message_type::ping_request:
        this->take_ping_request(from, received);
        break;
    case message_type::ack:
        this->take_ack(received);
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
    auto answer = this->prepare(message_type::ack, number, this->by_address(to));
    answer.target_id = this->table.self().id;
    this->outbox.send(to, answer);
}

void failure_detector::take_ping_request(const helpers::endpoint& from, const message& received) {
    this->start_probe(
        {received.target, received.target_id, this->time.now(), true, from, received.number});
}

void failure_detector::take_ack(const message& received) {
    const auto found = this->pending.find(received.number);
    if (found == this->pending.end())
        return;
    const auto probe = this->pending.extract(found).mapped();
    if (probe.asker_number == 0)
        return;
    auto passed_on = this->prepare(message_type::ack, probe.asker_number, nullptr);
    passed_on.target_id = probe.target;
    this->outbox.send(probe.asker, passed_on);
}

void failure_detector::send_table(const helpers::endpoint& to) {
    auto part = this->prepare(message_type::sync, 0, nullptr);
    part.updates.clear();
    for (const auto& [id, entry] : this->table.members()) {
        part.updates.push_back(entry.record);
        if (part.updates.size() < max_sync_records)
            continue;
        this->outbox.send(to, part);
        part.updates.clear();
    }
    if (!part.updates.empty())
        this->outbox.send(to, part);
}

void failure_detector::sync_if_different(const helpers::endpoint& with, const message& received) {
    const auto now = this->time.now();
    if (received.digest == 0 || received.digest == this->table.digest() || now < this->next_sync)
        return;
    this->next_sync = now + this->timing.min_sync_pause;
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
    result.updates = this->table.take_updates(max_updates);
    const auto add = [&](const member_record& record) {
        const auto listed =
            std::any_of(result.updates.begin(), result.updates.end(),
                        [&](const member_record& update) { return update.id == record.id; });
        if (!listed)
            result.updates.push_back(record);
    };
    // A receiver that may not know this router learns it; one held for failed can refute that.
    if (receiver == nullptr || receiver->record.health != member_health::alive)
        add(this->table.self());
    if (receiver != nullptr && receiver->record.health != member_health::alive)
        add(receiver->record);
    return result;
}

const member* failure_detector::by_address(const helpers::endpoint& address) const {
    const member* found = nullptr;
    for (const auto& [id, entry] : this->table.members()) {
        if (entry.record.address == address && (found == nullptr || entry.is_live()))
            found = &entry;
    }
    return found;
}

std::vector<const member*> failure_detector::live_others() const {
    std::vector<const member*> others;
    for (const auto& [id, entry] : this->table.members()) {
        if (entry.is_live() && id != this->table.self().id)
            others.push_back(&entry);
    }
    return others;
}

void failure_detector::on_connection_refused(const helpers::endpoint& address) {
    const auto* refused = this->by_address(address);
    if (refused != nullptr && refused->record.health < member_health::stopped &&
        refused->record.id != this->table.self().id)
        this->table.judge(refused->record.id, member_health::stopped);
}

void failure_detector::leave() {
    this->table.change_self(member_state::leaving, member_health::left);
    auto others = this->live_others();
    shuffle(others, this->random);
    if (others.size() > farewells)
        others.resize(farewells);
    for (const auto* other : others) {
        this->table.spread(this->table.self().id);
        this->outbox.send(other->record.address,
                          this->prepare(message_type::ping, ++this->last_number, other));
    }
}

void failure_detector::apply_vm_list(const std::vector<helpers::vm_entry>& vms) {
    std::set<std::string_view> listed;
    for (const auto& vm : vms)
        listed.insert(vm.name);
    std::vector<helpers::router_id> gone;
    for (const auto& [id, entry] : this->table.members()) {
        if (entry.record.health == member_health::dead && !listed.contains(entry.record.name))
            gone.push_back(id);
    }
    for (const auto id : gone)
        this->table.judge(id, member_health::stopped);
}

} // namespace samphirespool::membership
