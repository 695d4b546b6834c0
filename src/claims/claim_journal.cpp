// Loading of the shard, group commit, and read-back after a lost reply.
#include "claims/claim_journal.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::claims {

namespace {

// How much further the floor may advance, in all, than the steady time that this process measured
// since it first loaded the journal.
constexpr helpers::wall_milliseconds max_floor_step_ms = 3600LL * 1000;
constexpr int max_snapshot_attempts = 5;

// Size class of a snapshot with the given number of records.
std::size_t level_of(std::size_t count, const journal_settings& settings) {
    std::size_t level = 0;
    for (auto size = settings.max_recent * settings.merge_width; count >= size;
         size *= settings.merge_width)
        ++level;
    return level;
}

snapshot_reference make_reference(const std::vector<claim_record>& records,
                                  std::uint64_t first_order, std::uint64_t last_order) {
    snapshot_reference result;
    result.first_order = first_order;
    result.last_order = last_order;
    result.count = static_cast<std::uint32_t>(records.size());
    for (const auto& each : records)
        result.newest_date = std::max(result.newest_date, each.date);
    return result;
}

} // namespace

std::string claim_journal::key(std::string_view name) const {
    return "claims/" + std::to_string(this->settings.shard) + "/" + std::string(name);
}

void claim_journal::send_reply(const helpers::request_id& request, claim_verdict verdict) {
    this->actions.emplace_back(call_reply{request, verdict});
}

std::vector<journal_action> claim_journal::drain() {
    return std::exchange(this->actions, {});
}

void claim_journal::submit(const claim_call& call, helpers::time_point now) {
    if (call.action == claim_action::release)
        this->cancel_claim(call.request);
    if (this->waiting.size() >= this->settings.max_waiting_calls) {
        if (call.action == claim_action::claim)
            this->send_reply(call.request, claim_verdict::unavailable);
        return;
    }
    this->waiting.push_back({call, now, now + call.remaining});
}

// A claim that is released before it was written needs no record.
void claim_journal::cancel_claim(const helpers::request_id& request) {
    const auto removed = std::erase_if(this->waiting, [&request](const waiting_call& each) {
        return each.call.action == claim_action::claim && each.call.request == request;
    });
    if (removed > 0)
        this->send_reply(request, claim_verdict::unavailable);
}

bool claim_journal::is_pending(const helpers::request_id& request) const {
    const auto is_claim = [&request](const waiting_call& each) {
        return each.call.action == claim_action::claim && each.call.request == request;
    };
    return std::any_of(this->waiting.begin(), this->waiting.end(), is_claim) ||
           std::any_of(this->current.calls.begin(), this->current.calls.end(), is_claim);
}

void claim_journal::tick(helpers::time_point now, helpers::wall_milliseconds wall) {
    this->remove_expired_calls(now);
    if (this->step != step_kind::idle || !this->has_work() || now < this->retry_at)
        return;
    if (!this->is_loaded) {
        this->read_head();
        return;
    }
    if (this->is_commit_due(now))
        this->begin_commit(now, wall);
}

// A claim whose requester has timed out must not be written for it.
void claim_journal::remove_expired_calls(helpers::time_point now) {
    std::erase_if(this->waiting, [this, now](const waiting_call& each) {
        const auto is_expired = each.call.action == claim_action::claim && each.deadline <= now;
        if (is_expired)
            this->send_reply(each.call.request, claim_verdict::unavailable);
        return is_expired;
    });
}

std::optional<helpers::time_point> claim_journal::due() const {
    if (!this->has_work() || this->step != step_kind::idle)
        return std::nullopt;
    if (!this->is_loaded)
        return this->retry_at;
    const auto commit = this->commit_due();
    return commit ? std::optional(std::max(*commit, this->retry_at)) : std::nullopt;
}

std::optional<helpers::time_point> claim_journal::commit_due() const {
    std::optional<helpers::time_point> result;
    for (const auto& each : this->waiting) {
        const auto is_deferrable = each.call.action == claim_action::complete;
        const auto due_at =
            is_deferrable ? each.since + this->settings.max_completion_delay : each.since;
        result = result ? std::min(*result, due_at) : due_at;
        if (!is_deferrable)
            break;
    }
    if (!result)
        return std::nullopt;
    return std::max(*result, this->last_commit + this->settings.commit_interval);
}

bool claim_journal::is_commit_due(helpers::time_point now) const {
    const auto due = this->commit_due();
    return due && *due <= now;
}

void claim_journal::on_reply(const object_reply& reply, helpers::time_point now,
                             helpers::wall_milliseconds wall) {
    const auto finished_step = std::exchange(this->step, step_kind::idle);
    switch (finished_step) {
    case step_kind::reading_head:
        this->on_head_read(reply, now);
        break;
    case step_kind::reading_snapshot:
        this->on_snapshot_read(reply, now);
        break;
    case step_kind::writing_snapshot:
        this->on_snapshot_written(reply, now, wall);
        break;
    case step_kind::writing_head:
        this->on_head_written(reply, now);
        break;
    case step_kind::idle:
        break;
    }
}

void claim_journal::back_off(helpers::time_point now) {
    this->retry_delay = std::clamp(this->retry_delay * 2, this->settings.min_retry_delay,
                                   this->settings.max_retry_delay);
    this->retry_at = now + this->retry_delay;
}

void claim_journal::read_head() {
    this->step = step_kind::reading_head;
    this->actions.emplace_back(read_object{this->key("head")});
}

void claim_journal::on_head_read(const object_reply& reply, helpers::time_point now) {
    const auto is_absent = reply.status == object_status::not_found;
    auto parsed = reply.status == object_status::ok ? parse_head(reply.value) : std::nullopt;
    if (!is_absent && !parsed) {
        this->back_off(now);
        return;
    }
    // An older version than the known one would restore removed records. A linearizable store never
    // returns it.
    if (reply.version < this->version) {
        this->back_off(now);
        return;
    }
    this->loading = is_absent ? journal_head{} : std::move(*parsed);
    this->loading_version = is_absent ? 0 : reply.version;
    this->unread_snapshots.clear();
    for (const auto& each : this->loading.snapshots)
        if (!this->loaded_snapshots.contains(each.name))
            this->unread_snapshots.push_back(each.name);
    this->read_next_snapshot(now);
}

void claim_journal::read_next_snapshot(helpers::time_point now) {
    if (!this->unread_snapshots.empty()) {
        this->step = step_kind::reading_snapshot;
        this->actions.emplace_back(
            read_object{this->key("snapshot/" + this->unread_snapshots.back())});
        return;
    }
    if (this->is_update_unconfirmed)
        this->resolve_lost_update(this->loading, this->loading_version);
    this->durable = std::move(this->loading);
    this->version = this->loading_version;
    this->loaded_snapshots.clear();
    for (const auto& each : this->durable.snapshots)
        this->loaded_snapshots.insert(each.name);
    for (const auto& each : this->durable.recent)
        this->table.add(each);
    this->table.remove_up_to(this->durable.floor);
    this->is_loaded = true;
    this->retry_delay = {};
    if (!this->loaded_at) {
        this->loaded_at = now;
        this->floor_at_load = this->durable.floor;
    }
}

void claim_journal::on_snapshot_read(const object_reply& reply, helpers::time_point now) {
    // A snapshot that is not found was merged since the head was read; the head is read again.
    const auto records =
        reply.status == object_status::ok ? parse_records(reply.value) : std::nullopt;
    if (!records) {
        this->back_off(now);
        return;
    }
    for (const auto& each : *records)
        this->table.add(each);
    this->loaded_snapshots.insert(this->unread_snapshots.back());
    this->unread_snapshots.pop_back();
    this->read_next_snapshot(now);
}

// The head names its writer. If this journal's update took effect, a later head of another writer
// is based on it, so the calls find their own records in it when they are evaluated again.
void claim_journal::resolve_lost_update(const journal_head& found, std::uint64_t version) {
    this->is_update_unconfirmed = false;
    const auto is_ours =
        found.writer == this->settings.writer && found.nonce == this->current.head.nonce;
    if (is_ours)
        this->apply_batch(version);
    else
        this->requeue_batch();
}

void claim_journal::apply_batch(std::uint64_t version) {
    this->durable = std::move(this->current.head);
    this->version = version;
    for (const auto& each : this->current.added)
        this->table.add(each);
    for (const auto& each : this->durable.snapshots)
        this->loaded_snapshots.insert(each.name);
    this->table.remove_up_to(this->durable.floor);
    for (const auto& each : this->current.replies)
        this->actions.emplace_back(each);
    for (const auto& each : this->current.obsolete_snapshots) {
        this->loaded_snapshots.erase(each.name);
        if (each.version != 0)
            this->actions.emplace_back(
                remove_object{this->key("snapshot/" + each.name), each.version});
    }
    this->current = {};
}

void claim_journal::requeue_batch() {
    auto calls = std::move(this->current.calls);
    this->current = {};
    for (auto& each : this->waiting)
        calls.push_back(each);
    this->waiting = std::move(calls);
}

const claim_record* claim_journal::latest(const claim_key& key) const {
    const auto added = this->uncommitted.find(key);
    return added == this->uncommitted.end() ? this->table.find(key) : &added->second;
}

// Moves the waiting calls into the batch. Calls that durable records alone decide get their reply
// at once.
void claim_journal::evaluate_waiting(helpers::wall_milliseconds wall) {
    auto& head = this->current.head;
    for (auto& each : std::exchange(this->waiting, {})) {
        const auto depends_on_batch = this->uncommitted.contains(each.call.key);
        auto effect = evaluate(each.call, this->latest(each.call.key), head.floor, wall);
        if (effect.record) {
            effect.record->order = head.next_order++;
            this->uncommitted.insert_or_assign(effect.record->key, *effect.record);
            this->current.added.push_back(*effect.record);
        } else if (!depends_on_batch) {
            if (effect.verdict)
                this->send_reply(each.call.request, *effect.verdict);
            continue;
        }
        if (effect.verdict)
            this->current.replies.push_back({each.call.request, *effect.verdict});
        this->current.calls.push_back(each);
    }
}

void claim_journal::begin_commit(helpers::time_point now, helpers::wall_milliseconds wall) {
    this->current = {};
    this->uncommitted.clear();
    this->current.head = this->durable;
    this->advance_floor(now, wall);
    this->evaluate_waiting(wall);
    if (this->current.added.empty())
        return;
    this->last_commit = now;
    this->current.head.writer = this->settings.writer;
    this->current.head.nonce = ++this->last_nonce;
    this->move_recent_to_snapshot();
    auto& recent = this->current.head.recent;
    for (const auto& each : this->current.added) {
        std::erase_if(recent, [&each](const claim_record& old) { return old.key == each.key; });
        recent.push_back(each);
    }
    if (this->current.snapshot)
        this->write_snapshot();
    else
        this->write_head();
}

// Only records dated up to the floor may be removed. The floor follows the wall clock at a distance
// of key_validity_ms and never decreases. Since the journal was first loaded it may advance by at
// most the elapsed steady time plus max_floor_step_ms, so that it can catch up after a pause and a
// wall clock that jumps cannot move it too far. A journal that was loaded without a floor has no
// such bound.
void claim_journal::advance_floor(helpers::time_point now, helpers::wall_milliseconds wall) {
    auto& head = this->current.head;
    const auto desired = wall - key_validity_ms;
    const auto elapsed = (now - *this->loaded_at) / std::chrono::milliseconds(1);
    const auto allowed =
        this->floor_at_load == 0 ? desired : this->floor_at_load + elapsed + max_floor_step_ms;
    head.floor = std::max(head.floor, std::min(desired, allowed));
    const auto is_below_floor = [&head](const auto& date) { return date <= head.floor; };
    std::erase_if(head.recent, [&](const claim_record& each) { return is_below_floor(each.date); });
    std::erase_if(head.snapshots, [&](const snapshot_reference& each) {
        if (!is_below_floor(each.newest_date))
            return false;
        this->current.obsolete_snapshots.push_back(each);
        return true;
    });
}

void claim_journal::move_recent_to_snapshot() {
    auto& head = this->current.head;
    if (head.recent.size() < this->settings.max_recent)
        return;
    auto records = std::exchange(head.recent, {});
    const auto by_order = [](const auto& a, const auto& b) { return a.order < b.order; };
    const auto [first, last] = std::minmax_element(records.begin(), records.end(), by_order);
    auto reference = make_reference(records, first->order, last->order);
    this->current.snapshot_value = write_records(records);
    reference.name = this->settings.writer + "-" + std::to_string(this->last_nonce);
    this->current.snapshot = reference;
    head.snapshots.push_back(reference);
    this->merge_snapshots();
}

// Replaces the newest snapshots by one if enough of them are about the same size. Each of their
// records that is still the latest of its key is in the table, with an order within their ranges.
void claim_journal::merge_snapshots() {
    auto& snapshots = this->current.head.snapshots;
    const auto width = this->settings.merge_width;
    if (snapshots.size() < width)
        return;
    const auto first = snapshots.end() - static_cast<std::ptrdiff_t>(width);
    std::size_t count = 0;
    for (auto at = first; at != snapshots.end(); ++at) {
        count += at->count;
        if (level_of(at->count, this->settings) != level_of(first->count, this->settings))
            return;
    }
    if (count > this->settings.max_snapshot_records)
        return;
    const auto records = this->table.in_range(first->first_order, snapshots.back().last_order);
    auto reference = make_reference(records, first->first_order, snapshots.back().last_order);
    reference.name = snapshots.back().name;
    this->current.snapshot_value = write_records(records);
    this->current.snapshot = reference;
    // The last snapshot was never written: it is the one of this batch.
    this->current.obsolete_snapshots.insert(this->current.obsolete_snapshots.end(), first,
                                            snapshots.end() - 1);
    snapshots.erase(first, snapshots.end());
    snapshots.push_back(reference);
}

void claim_journal::write_snapshot() {
    this->step = step_kind::writing_snapshot;
    ++this->current.snapshot_attempts;
    this->actions.emplace_back(write_object{this->key("snapshot/" + this->current.snapshot->name),
                                            0, this->current.snapshot_value});
}

void claim_journal::on_snapshot_written(const object_reply& reply, helpers::time_point now,
                                        helpers::wall_milliseconds) {
    const auto attempts = this->current.snapshot_attempts;
    // The name is unique: a conflict means that an earlier attempt took effect.
    const auto is_written = reply.status == object_status::ok ||
                            (reply.status == object_status::conflict && attempts > 1);
    if (is_written) {
        this->current.head.snapshots.back().version =
            reply.status == object_status::ok ? reply.version : 0;
        this->write_head();
        return;
    }
    if (reply.status == object_status::unknown && attempts < max_snapshot_attempts) {
        this->write_snapshot();
        return;
    }
    this->requeue_batch();
    this->back_off(now);
}

void claim_journal::write_head() {
    this->step = step_kind::writing_head;
    this->actions.emplace_back(
        write_object{this->key("head"), this->version, claims::write_head(this->current.head)});
}

void claim_journal::on_head_written(const object_reply& reply, helpers::time_point now) {
    if (reply.status == object_status::ok) {
        this->retry_delay = {};
        this->apply_batch(reply.version);
        return;
    }
    if (reply.status == object_status::rejected) {
        this->requeue_batch();
        this->back_off(now);
        return;
    }
    this->is_loaded = false;
    if (reply.status == object_status::unknown) {
        this->is_update_unconfirmed = true;
        this->read_head();
        return;
    }
    this->requeue_batch();
    this->read_head();
}

} // namespace samphirespool::claims
