// The writes of the archive: at most one call at a time, each conditional on the object's revision.
#include "gateway/stream_archive.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::gateway {

namespace {

// The current object is rewritten at most this often. With 400 ms, a fifth of the streams that
// callers took up after the loss of a fleet were unknown.
constexpr helpers::duration record_write_interval = std::chrono::milliseconds(60);
// Several hubs of a group, while it is partitioned, write to the same objects. The interval doubles
// up to this with each conflict, since all gateways of a group may be hubs then.
constexpr helpers::duration max_conflict_delay = std::chrono::milliseconds(6400);
const std::string history_name = "history";

} // namespace

void stream_archive::write(const std::string& name, std::uint64_t revision,
                           const std::string& content, result_handler done) {
    this->is_calling = true;
    ++this->call_counts.writes;
    const auto handler = [this, done](const discovery::feed_result& result) {
        (this->*done)(result);
    };
    const auto kind = discovery::collection::stream_origins;
    auto& store = this->services.store;
    this->call = revision == 0 ? store.create(kind, name, content, handler)
                               : store.replace_if(kind, name, revision, content, handler);
}

// Only the first hub writes the versions, since all hubs see the same targets.
bool stream_archive::write_history() {
    if (!this->services.node.is_reader())
        return false;
    const auto lists = this->history.all();
    if (this->is_history_valid && lists == this->stored_history)
        return false;
    this->stored_history = lists;
    this->write(history_name, this->history_revision,
                this->services.codec.write_version_lists(lists),
                &stream_archive::on_history_written);
    return true;
}

void stream_archive::on_history_written(const discovery::feed_result& result) {
    if (!this->finish_call("write versions", result)) {
        // Written again; see write_history().
        this->stored_history.clear();
        return;
    }
    if (const auto* page = std::get_if<discovery::feed_page>(&result)) {
        this->history_revision = page->revision;
        this->is_history_valid = true;
        std::uint64_t versions = 0;
        for (const auto& [service, each] : this->stored_history)
            versions += each.size();
        this->services.events.write(
            kernel::severity::info, "stream_origins.versions_written", std::nullopt,
            {{"services", std::uint64_t{this->stored_history.size()}},
             {"versions", versions},
             {"mixed_services", std::uint64_t{this->history.mixed_service_count()}}});
        return;
    }
    ++this->call_counts.conflicts;
    // Another first hub has written, or the object is gone; the listing shows what there is.
    this->listed_at.reset();
    this->wants_listing = true;
}

// The records of streams at versions of mixed services. When a further version is among them, all
// live records are looked through.
void stream_archive::queue_records() {
    const auto mixed = this->history.versions_of_mixed_services();
    if (!std::includes(this->recorded_versions.begin(), this->recorded_versions.end(),
                       mixed.begin(), mixed.end()))
        this->position = 0;
    this->recorded_versions = mixed;
    if (mixed.empty())
        return;
    for (const auto& each : this->services.origins.own_since(this->position))
        if (mixed.contains(each.software))
            this->ring.add(each);
}

void stream_archive::write_records(helpers::time_point now) {
    this->queue_records();
    if (now < this->next_record_write_at)
        return;
    const auto next = this->ring.next_write();
    if (!next)
        return;
    this->next_record_write_at = now + std::max(record_write_interval, this->conflict_delay);
    this->write(this->object_prefix() + std::to_string(next->index), next->revision,
                this->services.codec.write_stream_origins(next->records),
                &stream_archive::on_records_written);
}

void stream_archive::on_records_written(const discovery::feed_result& result) {
    if (!this->finish_call("write records", result))
        return;
    if (const auto* page = std::get_if<discovery::feed_page>(&result)) {
        this->conflict_delay = {};
        this->ring.on_written(page->revision);
        return;
    }
    ++this->call_counts.conflicts;
    this->conflict_delay =
        std::clamp(this->conflict_delay * 2, record_write_interval, max_conflict_delay);
    if (const auto* conflict = std::get_if<discovery::revision_conflict>(&result)) {
        kernel::error reason;
        const auto& stored = conflict->stored;
        const auto records =
            this->services.codec.read_stream_origins(stored.name, stored.content, reason);
        this->ring.on_conflict(stored.revision, records.value_or(exchange::stream_origin_list()));
        return;
    }
    if (std::get<kernel::error>(result).kind == kernel::error_kind::not_found) {
        this->ring.on_missing();
        return;
    }
    // An object with this name was created meanwhile; the listing shows its revision.
    this->listed_at.reset();
    this->wants_listing = true;
}

} // namespace samphirespool::gateway
