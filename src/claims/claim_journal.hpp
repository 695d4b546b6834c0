// The journal of one claim shard at its owner: groups calls into conditional updates of the head
// object. A state machine without I/O: replies of the store and the time are its input, calls to
// the store and replies to requesters its output. Any number of owners may run at once: the
// conditional write of the head decides between them, and the one with a conflict reads the head
// again.
#pragma once

#include "claims/claim_table.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace samphirespool::claims {

enum class object_status : std::uint8_t {
    ok,
    not_found,
    // The object has another version than expected.
    conflict,
    // The store rejected the call; it had no effect.
    rejected,
    // The reply was lost; a write may have taken effect.
    unknown,
};

struct object_reply {
    object_status status = object_status::unknown;
    std::uint64_t version = 0;
    std::string value;
};

// Actions that the journal's user carries out. At most one read or write is in flight at a time;
// its reply goes to claim_journal::on_reply(). Removals have no reply.
struct read_object {
    std::string key;
};

struct write_object {
    std::string key;
    // Version that the object must have; 0 if it must not exist.
    std::uint64_t expected = 0;
    std::string value;
};

struct remove_object {
    std::string key;
    std::uint64_t version = 0;
};

// Reply to the requester of a claim. As an interim reply, `unavailable` says that the owner is
// running and has not decided yet.
struct call_reply {
    helpers::request_id request;
    claim_verdict verdict = claim_verdict::unavailable;
};

using journal_action = std::variant<read_object, write_object, remove_object, call_reply>;

struct journal_settings {
    std::uint32_t shard = 0;
    // Name of this journal, unique in the fleet and over restarts.
    std::string writer;
    // Shortest time from the start of one update of the head to the start of the next.
    helpers::duration commit_interval = std::chrono::milliseconds(50);
    // How long a completion may wait for a claim with which it shares an update.
    helpers::duration max_completion_delay = std::chrono::seconds(1);
    helpers::duration min_retry_delay = std::chrono::milliseconds(50);
    helpers::duration max_retry_delay = std::chrono::seconds(1);
    // Number of records in the head at which they are moved to a snapshot.
    std::size_t max_recent = 128;
    // Number of snapshots of about the same size that are merged into one.
    std::size_t merge_width = 4;
    // Snapshots are not merged into one with more records than this.
    std::size_t max_snapshot_records = 2048;
    // Calls that may wait; further claims get `unavailable`.
    std::size_t max_waiting_calls = 4096;
};

class claim_journal {
public:
    explicit claim_journal(const journal_settings& settings) : settings(settings) {}

    // Adds a call to the next update. A release cancels the request's waiting claim.
    void submit(const claim_call& call, helpers::time_point now);
    // Whether a claim of the request was submitted and has no verdict yet.
    bool is_pending(const helpers::request_id& request) const;

    // The reply to the read or write in flight.
    void on_reply(const object_reply& reply, helpers::time_point now,
                  helpers::wall_milliseconds wall);
    // Starts what is due. To be called after submit() and on_reply(), and at due().
    void tick(helpers::time_point now, helpers::wall_milliseconds wall);

    // When tick() has work next; nullopt while it waits for a reply or a call.
    std::optional<helpers::time_point> due() const;

    // Returns and removes the actions since the last call, in order.
    std::vector<journal_action> drain();

    const journal_head& head() const { return this->durable; }
    const claim_table& records() const { return this->table; }
    bool is_idle() const { return !this->has_work() && this->step == step_kind::idle; }

private:
    enum class step_kind : std::uint8_t {
        idle,
        reading_head,
        reading_snapshot,
        writing_snapshot,
        writing_head,
    };
    struct waiting_call {
        claim_call call;
        helpers::time_point since;
        helpers::time_point deadline;
    };
    // The update of the head in progress.
    struct batch {
        journal_head head;
        std::vector<claim_record> added;
        // Sent once the update is durable.
        std::vector<call_reply> replies;
        // Evaluated again if the update has no effect.
        std::deque<waiting_call> calls;
        // Removed once the update is durable.
        std::vector<snapshot_reference> obsolete_snapshots;
        // Snapshot that is to be written before the head.
        std::optional<snapshot_reference> snapshot;
        std::string snapshot_value;
        int snapshot_attempts = 0;
    };

    bool has_work() const { return !this->waiting.empty() || this->is_update_unconfirmed; }
    void cancel_claim(const helpers::request_id& request);
    void read_head();
    void on_head_read(const object_reply& reply, helpers::time_point now);
    void on_snapshot_read(const object_reply& reply, helpers::time_point now);
    void read_next_snapshot(helpers::time_point now);
    void on_snapshot_written(const object_reply& reply, helpers::time_point now,
                             helpers::wall_milliseconds wall);
    void on_head_written(const object_reply& reply, helpers::time_point now);
    void resolve_lost_update(const journal_head& found, std::uint64_t version);
    void apply_batch(std::uint64_t version);
    void requeue_batch();
    void remove_expired_calls(helpers::time_point now);
    void evaluate_waiting(helpers::wall_milliseconds wall);
    bool is_commit_due(helpers::time_point now) const;
    std::optional<helpers::time_point> commit_due() const;
    void begin_commit(helpers::time_point now, helpers::wall_milliseconds wall);
    void advance_floor(helpers::time_point now, helpers::wall_milliseconds wall);
    void move_recent_to_snapshot();
    void merge_snapshots();
    void write_snapshot();
    void write_head();
    void back_off(helpers::time_point now);
    void send_reply(const helpers::request_id& request, claim_verdict verdict);
    std::string key(std::string_view name) const;
    const claim_record* latest(const claim_key& key) const;

    journal_settings settings;
    step_kind step = step_kind::idle;
    bool is_loaded = false;
    // Invariant: durable, version and table are what one version of the head object says.
    journal_head durable;
    std::uint64_t version = 0;
    claim_table table;
    // Head that is being loaded, and the names of its snapshots that were not read yet.
    journal_head loading;
    std::uint64_t loading_version = 0;
    std::vector<std::string> unread_snapshots;
    // Snapshots whose records are in the table.
    std::set<std::string, std::less<>> loaded_snapshots;
    std::deque<waiting_call> waiting;
    batch current;
    // The reply to the write of `current` was lost; the head that is read next decides.
    bool is_update_unconfirmed = false;
    // Records of `current` by key.
    record_map uncommitted;
    std::uint64_t last_nonce = 0;
    helpers::time_point last_commit{};
    helpers::time_point retry_at{};
    helpers::duration retry_delay{};
    // When this journal was first loaded, and the floor at that time.
    std::optional<helpers::time_point> loaded_at;
    helpers::wall_milliseconds floor_at_load = 0;
    std::vector<journal_action> actions;
};

} // namespace samphirespool::claims
