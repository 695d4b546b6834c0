// Loading of the shard, group commit, and read-back after a lost answer.
#include "claims/claim_journal.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::claims {

namespace {

// How far the floor may move beyond the time that this process has measured itself.
constexpr helpers::wall_milliseconds max_floor_step_ms = 3600LL * 1000;
constexpr int max_snapshot_attempts = 5;

std::size_t level_of(std::size_t count, const journal_settings& settings) {
    std::size_t level = 0;
    for (auto size = settings.max_recent * settings.merge_width; count >= size;
         size *= settings.merge_width)
        ++level;
    return level;
}

snapshot_reference describe(const std::vector<claim_record>& records, std::uint64_t first_order,
                            std::uint64_t last_order) {
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

void claim_journal::answer(const helpers::request_id& request, claim_verdict verdict) {
    this->actions.emplace_back(call_reply{request, verdict});
}

std::vector<journal_action> claim_journal::drain() {
    return std::exchange(this->actions, {});
}

void claim_journal::submit(const claim_call& call, helpers::time_point now) {
    if (call.action == claim_action::release)
        this->withdraw(call.request);
    if (this->waiting.size() >= this->settings.max_waiting) {
        if (call.action == claim_action::claim)
            this->answer(call.request, claim_verdict::unavailable);
        return;
    }
    this->waiting.push_back({call, now, now + call.remaining});
}

// A claim that is given up before it was written needs no record.
void claim_journal::withdraw(const helpers::request_id& request) {
    const auto removed = std::erase_if(this->waiting, [&request](const waiting_call& each) {
        return each.call.action == claim_action::claim && each.call.request == request;
    });
    if (removed > 0)
        this->answer(request, claim_verdict::unavailable);
}

bool claim_journal::is_deciding(const helpers::request_id& request) const {
    const auto is_claim = [&request](const waiting_call& each) {
        return each.call.action == claim_action::claim && each.call.request == request;
    };
    return std::any_of(this->waiting.begin(), this->waiting.end(), is_claim) ||
           std::any_of(this->current.calls.begin(), this->current.calls.end(), is_claim);
}

void claim_journal::tick(helpers::time_point now, helpers::wall_milliseconds wall) {
    this->drop_late_calls(now);
    if (this->step != step_kind::idle || !this->has_work() || now < this->retry_at)
        return;
    if (!this->is_loaded) {
        this->read_head();
        return;
    }
    if (this->is_commit_due(now))
        this->begin_commit(now, wall);
}

// A call whose caller has given up must not be claimed for it.
void claim_journal::drop_late_calls(helpers::time_point now) {
    std::erase_if(this->waiting, [this, now](const waiting_call& each) {
        const auto is_late = each.call.action == claim_action::claim && each.deadline <= now;
        if (is_late)
            this->answer(each.call.request, claim_verdict::unavailable);
        return is_late;
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
        const auto is_lazy = each.call.action == claim_action::complete;
        const auto wanted = is_lazy ? each.since + this->settings.lazy_interval : each.since;
        result = result ? std::min(*result, wanted) : wanted;
        if (!is_lazy)
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

void claim_journal::take(const object_reply& reply, helpers::time_point now,
                         helpers::wall_milliseconds wall) {
    const auto done = std::exchange(this->step, step_kind::idle);
    switch (done) {
    case step_kind::reading_head:
        this->take_head(reply, now);
        break;
    case step_kind::reading_snapshot:
        this->take_snapshot(reply, now);
        break;
    case step_kind::writing_snapshot:
        this->take_written_snapshot(reply, now, wall);
        break;
    case step_kind::writing_head:
        this->take_written_head(reply, now);
        break;
    case step_kind::idle:
        break;
    }
}

void claim_journal::back_off(helpers::time_point now) {
    this->retry = std::clamp(this->retry * 2, this->settings.min_retry, this->settings.max_retry);
    this->retry_at = now + this->retry;
}

void claim_journal::read_head() {
    this->step = step_kind::reading_head;
    this->actions.emplace_back(read_object{this->key("head")});
}

void claim_journal::take_head(const object_reply& reply, helpers::time_point now) {
    const auto is_absent = reply.status == object_status::not_found;
    auto parsed = reply.status == object_status::ok ? parse_head(reply.value) : std::nullopt;
    if (!is_absent && !parsed) {
        this->back_off(now);
        return;
    }
    // A read that answers with an older version than is known here would bring forgotten state
    // back; a store that keeps its promise never does it.
    if (reply.version < this->version) {
        this->back_off(now);
        return;
    }
    this->loading = is_absent ? journal_head{} : std::move(*parsed);
    this->loading_version = is_absent ? 0 : reply.version;
    this->to_read.clear();
    for (const auto& each : this->loading.snapshots)
        if (!this->read_names.contains(each.name))
            this->to_read.push_back(each.name);
    this->read_next_snapshot(now);
}

void claim_journal::read_next_snapshot(helpers::time_point now) {
    if (!this->to_read.empty()) {
        this->step = step_kind::reading_snapshot;
        this->actions.emplace_back(read_object{this->key("snapshot/" + this->to_read.back())});
        return;
    }
    if (this->is_update_lost)
        this->settle_lost_update(this->loading, this->loading_version);
    this->durable = std::move(this->loading);
    this->version = this->loading_version;
    this->read_names.clear();
    for (const auto& each : this->durable.snapshots)
        this->read_names.insert(each.name);
    for (const auto& each : this->durable.recent)
        this->table.add(each);
    this->table.forget_up_to(this->durable.floor);
    this->is_loaded = true;
    this->retry = {};
    if (!this->loaded_at) {
        this->loaded_at = now;
        this->floor_at_load = this->durable.floor;
    }
}

void claim_journal::take_snapshot(const object_reply& reply, helpers::time_point now) {
    // If it is not found it was merged away since the head was read: that is read again.
    const auto records =
        reply.status == object_status::ok ? parse_records(reply.value) : std::nullopt;
    if (!records) {
        this->back_off(now);
        return;
    }
    for (const auto& each : *records)
        this->table.add(each);
    this->read_names.insert(this->to_read.back());
    this->to_read.pop_back();
    this->read_next_snapshot(now);
}

// The head tells who wrote it. Any other writer's head was built on ours if ours took effect, so
// the calls find their own records in it when they are evaluated again.
void claim_journal::settle_lost_update(const journal_head& found, std::uint64_t version) {
    this->is_update_lost = false;
    const auto is_ours =
        found.writer == this->settings.writer && found.nonce == this->current.head.nonce;
    if (is_ours)
        this->adopt_batch(version);
    else
        this->return_batch();
}

void claim_journal::adopt_batch(std::uint64_t version) {
    this->durable = std::move(this->current.head);
    this->version = version;
    for (const auto& each : this->current.added)
        this->table.add(each);
    for (const auto& each : this->durable.snapshots)
        this->read_names.insert(each.name);
    this->table.forget_up_to(this->durable.floor);
    for (const auto& each : this->current.answers)
        this->actions.emplace_back(each);
    for (const auto& each : this->current.dropped) {
        this->read_names.erase(each.name);
        if (each.version != 0)
            this->actions.emplace_back(
                remove_object{this->key("snapshot/" + each.name), each.version});
    }
    this->current = {};
}

void claim_journal::return_batch() {
    auto calls = std::move(this->current.calls);
    this->current = {};
    for (auto& each : this->waiting)
        calls.push_back(each);
    this->waiting = std::move(calls);
}

const claim_record* claim_journal::latest(const claim_key& key) const {
    const auto added = this->overlay.find(key);
    return added == this->overlay.end() ? this->table.find(key) : &added->second;
}

// Moves the waiting calls into the batch; those that the durable records decide alone are answered
// at once.
void claim_journal::evaluate_waiting(helpers::wall_milliseconds wall) {
    auto& head = this->current.head;
    for (auto& each : std::exchange(this->waiting, {})) {
        const auto is_on_new_record = this->overlay.contains(each.call.key);
        auto effect = evaluate(each.call, this->latest(each.call.key), head.floor, wall);
        if (effect.record) {
            effect.record->order = head.next_order++;
            this->overlay.insert_or_assign(effect.record->key, *effect.record);
            this->current.added.push_back(*effect.record);
        } else if (!is_on_new_record) {
            if (effect.verdict)
                this->answer(each.call.request, *effect.verdict);
            continue;
        }
        if (effect.verdict)
            this->current.answers.push_back({each.call.request, *effect.verdict});
        this->current.calls.push_back(each);
    }
}

void claim_journal::begin_commit(helpers::time_point now, helpers::wall_milliseconds wall) {
    this->current = {};
    this->overlay.clear();
    this->current.head = this->durable;
    this->advance_floor(now, wall);
    this->evaluate_waiting(wall);
    if (this->current.added.empty())
        return;
    this->last_commit = now;
    this->current.head.writer = this->settings.writer;
    this->current.head.nonce = ++this->last_nonce;
    this->spill_recent();
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

// Only what the floor has passed may be forgotten. It follows the wall clock, but no faster than
// twice the time that this process measures itself, so that it can catch up after a pause and a
// clock that jumps cannot drag it along.
void claim_journal::advance_floor(helpers::time_point now, helpers::wall_milliseconds wall) {
    auto& head = this->current.head;
    const auto wanted = wall - key_validity_ms;
    const auto elapsed = (now - *this->loaded_at) / std::chrono::milliseconds(1);
    const auto allowed =
        this->floor_at_load == 0 ? wanted : this->floor_at_load + elapsed + max_floor_step_ms;
    head.floor = std::max(head.floor, std::min(wanted, allowed));
    const auto is_forgotten = [&head](const auto& date) { return date <= head.floor; };
    std::erase_if(head.recent, [&](const claim_record& each) { return is_forgotten(each.date); });
    std::erase_if(head.snapshots, [&](const snapshot_reference& each) {
        if (!is_forgotten(each.newest_date))
            return false;
        this->current.dropped.push_back(each);
        return true;
    });
}

void claim_journal::spill_recent() {
    auto& head = this->current.head;
    if (head.recent.size() < this->settings.max_recent)
        return;
    auto records = std::exchange(head.recent, {});
    const auto by_order = [](const auto& a, const auto& b) { return a.order < b.order; };
    const auto [first, last] = std::minmax_element(records.begin(), records.end(), by_order);
    auto reference = describe(records, first->order, last->order);
    this->current.snapshot_value = write_records(records);
    reference.name = this->settings.writer + "-" + std::to_string(this->last_nonce);
    this->current.snapshot = reference;
    head.snapshots.push_back(reference);
    this->merge_snapshots();
}

// Replaces the newest snapshots, if enough of them are about the same size, by one. Every record
// of theirs that still holds is in the table under an order within their ranges.
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
    auto reference = describe(records, first->first_order, snapshots.back().last_order);
    reference.name = snapshots.back().name;
    this->current.snapshot_value = write_records(records);
    this->current.snapshot = reference;
    // The last one is the new one, which was never written.
    this->current.dropped.insert(this->current.dropped.end(), first, snapshots.end() - 1);
    snapshots.erase(first, snapshots.end());
    snapshots.push_back(reference);
}

void claim_journal::write_snapshot() {
    this->step = step_kind::writing_snapshot;
    ++this->current.snapshot_attempts;
    this->actions.emplace_back(write_object{this->key("snapshot/" + this->current.snapshot->name),
                                            0, this->current.snapshot_value});
}

void claim_journal::take_written_snapshot(const object_reply& reply, helpers::time_point now,
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
    this->return_batch();
    this->back_off(now);
}

void claim_journal::write_head() {
    this->step = step_kind::writing_head;
    this->actions.emplace_back(
        write_object{this->key("head"), this->version, claims::write_head(this->current.head)});
}

void claim_journal::take_written_head(const object_reply& reply, helpers::time_point now) {
    if (reply.status == object_status::ok) {
        this->retry = {};
        this->adopt_batch(reply.version);
        return;
    }
    if (reply.status == object_status::rejected) {
        this->return_batch();
        this->back_off(now);
        return;
    }
    this->is_loaded = false;
    if (reply.status == object_status::unknown) {
        this->is_update_lost = true;
        this->read_head();
        return;
    }
    this->return_batch();
    this->read_head();
}

} // namespace samphirespool::claims
