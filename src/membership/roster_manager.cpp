// Reads, changes and spreads the roster.
#include "membership/roster_manager.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::membership {

namespace {

bool takes_part(const member& candidate, std::string_view region) {
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
        if (takes_part(entry, this->view.self().region))
            return id == this->view.self().id;
    }
    return false;
}

void roster_manager::tick() {
    if (!this->is_writer()) {
        this->store_checked = false;
        this->due.reset();
        return;
    }
    const auto now = this->time.now();
    if (now >= this->next_push && this->known.version > 0) {
        this->next_push = now + this->timing.push_period;
        this->push();
    }
    if (this->call_under_way || this->due)
        return;
    if (now >= this->next_read) {
        this->next_read = now + this->timing.read_period;
        this->due = {false, "roster/" + this->view.self().region, 0, {}};
        return;
    }
    if (this->store_checked)
        this->consider();
}

std::optional<roster_store_call> roster_manager::next_call() {
    auto call = std::exchange(this->due, std::nullopt);
    if (call)
        this->call_under_way = true;
    return call;
}

void roster_manager::on_store_reply(roster_store_outcome outcome, std::uint64_t version,
                                    std::string_view value) {
    this->call_under_way = false;
    if (outcome == roster_store_outcome::ok && !value.empty()) {
        auto read = parse_roster(value);
        if (!read)
            return;
        this->object_version = version;
        this->store_checked = read->version >= this->known.version;
        if (read->version > this->known.version)
            this->adopt(std::move(*read));
    } else if (outcome == roster_store_outcome::not_found) {
        this->object_version = 0;
        this->store_checked = true;
    } else {
        // A write's outcome is learnt by reading, whatever the answer was.
        this->store_checked = false;
        if (outcome != roster_store_outcome::failed)
            this->next_read = this->time.now();
    }
}

// Writes the next version if one is due. It is adopted once it was read back.
void roster_manager::consider() {
    auto next = this->known;
    if (!this->known.settled) {
        if (!this->adopted_by_all())
            return;
        next.settled = true;
        next.previous.clear();
    } else {
        auto wanted = this->wanted_members();
        if (wanted != this->candidate) {
            this->candidate = std::move(wanted);
            this->candidate_since = this->time.now();
        }
        const auto stable = this->time.now() - this->candidate_since >= this->timing.settle;
        if (!stable || this->candidate == this->known.members)
            return;
        next.settled = false;
        next.previous = this->known.members;
        next.members = this->candidate;
    }
    ++next.version;
    this->due = {true, "roster/" + this->view.self().region, this->object_version, to_text(next)};
    this->store_checked = false;
    this->next_read = this->time.now();
}

std::vector<roster_entry> roster_manager::wanted_members() const {
    std::vector<roster_entry> wanted;
    for (const auto& entry : this->known.members) {
        if (this->keeps_place(entry))
            wanted.push_back(entry);
    }
    for (const auto& [id, entry] : this->view.members()) {
        const auto same_id = [&, wanted_id = id](const roster_entry& e) {
            return e.id == wanted_id;
        };
        const auto listed = std::any_of(wanted.begin(), wanted.end(), same_id);
        if (!listed && takes_part(entry, this->view.self().region))
            wanted.push_back({id, entry.record.incarnation, entry.record.data_centre});
    }
    std::sort(wanted.begin(), wanted.end(),
              [](const auto& a, const auto& b) { return a.id < b.id; });
    return wanted;
}

// A silent router keeps its place: it may only be asleep or cut off. One whose process is over, or
// was replaced by a later life, keeps it for as long as a grant may last.
bool roster_manager::keeps_place(const roster_entry& entry) const {
    const auto* known_member = this->view.find(entry.id);
    if (known_member == nullptr)
        return true;
    const auto& record = known_member->record;
    if (record.health == member_health::left)
        return false;
    const auto over =
        record.health == member_health::stopped || record.incarnation != entry.incarnation;
    return !over || this->time.now() - known_member->health_since < this->timing.longest_grant;
}

bool roster_manager::adopted_by_all() const {
    return std::all_of(
        this->known.previous.begin(), this->known.previous.end(), [&](const auto& entry) {
            if (entry.id == this->view.self().id)
                return this->may_confirm();
            const auto* other = this->view.find(entry.id);
            if (other == nullptr)
                return false;
            if (other->record.health >= member_health::stopped)
                return true;
            const auto found = this->confirmed.find({entry.id, other->record.incarnation});
            return found != this->confirmed.end() && found->second >= this->known.version;
        });
}

void roster_manager::push() {
    message content;
    content.type = message_type::roster;
    content.sender = this->view.self().id;
    content.number = this->known.version;
    content.roster = to_text(this->known);
    for (const auto& [id, entry] : this->view.members()) {
        if (id == this->view.self().id || !entry.is_live() ||
            entry.record.region != this->view.self().region)
            continue;
        auto& seen = this->confirmed[{id, entry.record.incarnation}];
        if (seen < this->known.version)
            this->outbox.send(entry.record.address, content);
    }
    std::erase_if(this->confirmed, [&](const auto& item) {
        const auto* known_member = this->view.find(item.first.first);
        return known_member == nullptr || known_member->record.incarnation != item.first.second;
    });
}

void roster_manager::on_message(const helpers::endpoint& from, const message& received) {
    const auto* sender = this->view.find(received.sender);
    if (sender == nullptr || sender->record.region != this->view.self().region)
        return;
    if (received.type == message_type::roster_ack) {
        auto& seen = this->confirmed[{received.sender, sender->record.incarnation}];
        seen = std::max(seen, received.number);
    }
    if (received.type != message_type::roster)
        return;
    auto pushed = parse_roster(received.roster);
    if (!pushed)
        return;
    if (pushed->version > this->known.version)
        this->adopt(std::move(*pushed));
    if (!this->known.settled && !this->may_confirm())
        return;
    message answer;
    answer.type = message_type::roster_ack;
    answer.sender = this->view.self().id;
    answer.number = this->known.version;
    this->outbox.send(from, answer);
}

void roster_manager::adopt(roster fresh) {
    this->known = std::move(fresh);
    if (this->listener)
        this->listener();
}

} // namespace samphirespool::membership
