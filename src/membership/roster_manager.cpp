// Reads, changes and distributes the roster.
#include "membership/roster_manager.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::membership {

namespace {

bool is_eligible(const member& candidate, std::string_view region) {
    return candidate.record.region == region && candidate.record.health == member_health::alive &&
           candidate.record.state != member_state::leaving;
}

} // namespace

roster_manager::roster_manager(const kernel::clock& time, membership_view& view,
                               message_outbox& outbox, roster_timing timing)
    : time(time),
      view(view),
      outbox(outbox),
      timing(timing),
      next_read(time.now()),
      next_push(time.now()),
      candidate_since(time.now()) {}

bool roster_manager::is_writer() const {
    for (const auto& [id, entry] : this->view.members()) {
        if (is_eligible(entry, this->view.self().region))
            return id == this->view.self().id;
    }
    return false;
}

void roster_manager::tick() {
    if (!this->is_writer()) {
        this->store_checked = false;
        this->due_call.reset();
        return;
    }
    const auto now = this->time.now();
    if (now >= this->next_push && this->current_roster.version > 0) {
        this->next_push = now + this->timing.push_interval;
        this->push_roster();
    }
    if (this->call_in_flight || this->due_call)
        return;
    if (now >= this->next_read) {
        this->next_read = now + this->timing.read_interval;
        this->due_call = {false, "roster/" + this->view.self().region, 0, {}};
        return;
    }
    if (this->store_checked)
        this->plan_next_version();
}

std::optional<roster_store_call> roster_manager::next_call() {
    auto call = std::exchange(this->due_call, std::nullopt);
    if (call)
        this->call_in_flight = true;
    return call;
}

void roster_manager::on_store_reply(roster_store_outcome outcome, std::uint64_t version,
                                    std::string_view value) {
    this->call_in_flight = false;
    if (outcome == roster_store_outcome::ok && !value.empty()) {
        auto read = parse_roster(value);
        if (!read)
            return;
        this->object_version = version;
        this->store_checked = read->version >= this->current_roster.version;
        if (read->version > this->current_roster.version)
            this->adopt(std::move(*read));
    } else if (outcome == roster_store_outcome::not_found) {
        this->object_version = 0;
        this->store_checked = true;
    } else {
        // The outcome of a write is determined by reading the object, whatever the reply was.
        this->store_checked = false;
        if (outcome != roster_store_outcome::failed)
            this->next_read = this->time.now();
    }
}

// Schedules the write of the next version if one is due. It is adopted once it was read back.
void roster_manager::plan_next_version() {
    auto next = this->current_roster;
    if (!this->current_roster.settled) {
        if (!this->confirmed_by_all())
            return;
        next.settled = true;
        next.previous.clear();
    } else {
        auto desired = this->desired_members();
        if (desired != this->candidate) {
            this->candidate = std::move(desired);
            this->candidate_since = this->time.now();
        }
        const auto stable =
            this->time.now() - this->candidate_since >= this->timing.min_stable_time;
        if (!stable || this->candidate == this->current_roster.members)
            return;
        next.settled = false;
        next.previous = this->current_roster.members;
        next.members = this->candidate;
    }
    ++next.version;
    this->due_call = {true, "roster/" + this->view.self().region, this->object_version,
                      to_text(next)};
    this->store_checked = false;
    this->next_read = this->time.now();
}

std::vector<roster_entry> roster_manager::desired_members() const {
    std::vector<roster_entry> desired;
    for (const auto& entry : this->current_roster.members) {
        if (this->keeps_entry(entry))
            desired.push_back(entry);
    }
    for (const auto& [id, entry] : this->view.members()) {
        const auto same_id = [&, member_id = id](const roster_entry& e) {
            return e.id == member_id;
        };
        const auto listed = std::any_of(desired.begin(), desired.end(), same_id);
        if (!listed && is_eligible(entry, this->view.self().region))
            desired.push_back({id, entry.record.incarnation, entry.record.data_centre});
    }
    std::sort(desired.begin(), desired.end(),
              [](const auto& a, const auto& b) { return a.id < b.id; });
    return desired;
}

// An unreachable router keeps its entry: it may be paused or partitioned. One whose process has
// stopped, or was replaced by a later incarnation, keeps it for as long as a grant may last.
bool roster_manager::keeps_entry(const roster_entry& entry) const {
    const auto* member = this->view.find(entry.id);
    if (member == nullptr)
        return true;
    const auto& record = member->record;
    if (record.health == member_health::left)
        return false;
    const auto has_stopped =
        record.health == member_health::stopped || record.incarnation != entry.incarnation;
    return !has_stopped ||
           this->time.now() - member->health_since < this->timing.max_grant_duration;
}

bool roster_manager::confirmed_by_all() const {
    return std::all_of(
        this->current_roster.previous.begin(), this->current_roster.previous.end(),
        [&](const auto& entry) {
            if (entry.id == this->view.self().id)
                return this->may_confirm();
            const auto* peer = this->view.find(entry.id);
            if (peer == nullptr)
                return false;
            if (peer->record.health >= member_health::stopped)
                return true;
            const auto found = this->confirmed.find({entry.id, peer->record.incarnation});
            return found != this->confirmed.end() && found->second >= this->current_roster.version;
        });
}

void roster_manager::push_roster() {
    message content;
    content.type = message_type::roster;
    content.sender = this->view.self().id;
    content.number = this->current_roster.version;
    content.roster = to_text(this->current_roster);
    for (const auto& [id, entry] : this->view.members()) {
        if (id == this->view.self().id || !entry.is_live() ||
            entry.record.region != this->view.self().region)
            continue;
        auto& confirmed_version = this->confirmed[{id, entry.record.incarnation}];
        if (confirmed_version < this->current_roster.version)
            this->outbox.send(entry.record.address, content);
    }
    std::erase_if(this->confirmed, [&](const auto& item) {
        const auto* member = this->view.find(item.first.first);
        return member == nullptr || member->record.incarnation != item.first.second;
    });
}

void roster_manager::on_message(const helpers::endpoint& from, const message& received) {
    const auto* sender = this->view.find(received.sender);
    if (sender == nullptr || sender->record.region != this->view.self().region)
        return;
    if (received.type == message_type::roster_ack) {
        auto& confirmed_version = this->confirmed[{received.sender, sender->record.incarnation}];
        confirmed_version = std::max(confirmed_version, received.number);
    }
    if (received.type != message_type::roster)
        return;
    auto received_roster = parse_roster(received.roster);
    if (!received_roster)
        return;
    if (received_roster->version > this->current_roster.version)
        this->adopt(std::move(*received_roster));
    if (!this->current_roster.settled && !this->may_confirm())
        return;
    message reply;
    reply.type = message_type::roster_ack;
    reply.sender = this->view.self().id;
    reply.number = this->current_roster.version;
    this->outbox.send(from, reply);
}

void roster_manager::adopt(roster updated) {
    this->current_roster = std::move(updated);
    if (this->listener)
        this->listener();
}

} // namespace samphirespool::membership
