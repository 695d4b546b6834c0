// The journal of one claim shard at its owner: groups calls into conditional updates of the head
// object. A state machine without I/O: answers of the store and the time go in, calls to the store
// and answers to callers come out. Any number of owners may run at once; the version of the head
// decides, and the loser reads it again.
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
    conflict,
    rejected,
    unknown,
};

struct object_reply {
    object_status status = object_status::unknown;
    std::uint64_t version = 0;
    std::string value;
};

// What the journal wants done. At most one read or write is open at a time; its reply goes to
// claim_journal::take().
struct read_object {
    std::string key;
};

struct write_object {
    std::string key;
    std::uint64_t expected = 0;
    std::string value;
};

struct remove_object {
    std::string key;
    std::uint64_t version = 0;
};

struct call_reply {
    helpers::request_id request;
    claim_verdict verdict = claim_verdict::unavailable;
};

using journal_action = std::variant<read_object, write_object, remove_object, call_reply>;

struct journal_settings {
    std::uint32_t shard = 0;
    // Name of this journal, unique in the fleet and over restarts.
    std::string writer;
    // From the start of one update of the head to that of the next.
    helpers::duration commit_interval = std::chrono::milliseconds(50);
    // How long a completion may wait for a claim to share an update with.
    helpers::duration lazy_interval = std::chrono::seconds(1);
    helpers::duration min_retry = std::chrono::milliseconds(50);
    helpers::duration max_retry = std::chrono::seconds(1);
    // Records that the head holds before they go to a snapshot.
    std::size_t max_recent = 128;
    // Snapshots of about the same size that become one.
    std::size_t merge_width = 4;
    // Records of a snapshot that is merged no further.
    std::size_t max_snapshot_records = 2048;
    // Calls that wait; more are answered `unavailable`.
    std::size_t max_waiting = 4096;
};

class claim_journal {
public:
    explicit claim_journal(const journal_settings& settings) : settings(settings) {}

    void submit(const claim_call& call, helpers::time_point now);
    // Whether a claim of the request was submitted and has no answer yet.
    bool is_deciding(const helpers::request_id& request) const;

    // The reply to the open read or write.
    void take(const object_reply& reply, helpers::time_point now, helpers::wall_milliseconds wall);
    // Starts what is due. To be called after submit, take, and at due().
    void tick(helpers::time_point now, helpers::wall_milliseconds wall);

    // When tick has something to do next. Nothing while a reply or a call is awaited.
    std::optional<helpers::time_point> due() const;

    // The actions since the last call, in order.
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
        std::vector<call_reply> answers;
        std::deque<waiting_call> calls;
        std::vector<snapshot_reference> dropped;
        // Snapshot that is to be written before the head.
        std::optional<snapshot_reference> snapshot;
        std::string snapshot_value;
        int snapshot_attempts = 0;
    };

    bool has_work() const { return !this->waiting.empty() || this->is_update_lost; }
    void withdraw(const helpers::request_id& request);
    void read_head();
    void take_head(const object_reply& reply, helpers::time_point now);
    void take_snapshot(const object_reply& reply, helpers::time_point now);
    void read_next_snapshot(helpers::time_point now);
    void take_written_snapshot(const object_reply& reply, helpers::time_point now,
                               helpers::wall_milliseconds wall);
    void take_written_head(const object_reply& reply, helpers::time_point now);
    void settle_lost_update(const journal_head& found, std::uint64_t version);
    void adopt_batch(std::uint64_t version);
    void return_batch();
    void drop_late_calls(helpers::time_point now);
    void evaluate_waiting(helpers::wall_milliseconds wall);
    bool is_commit_due(helpers::time_point now) const;
    std::optional<helpers::time_point> commit_due() const;
    void begin_commit(helpers::time_point now, helpers::wall_milliseconds wall);
    void advance_floor(helpers::time_point now, helpers::wall_milliseconds wall);
    void spill_recent();
    void merge_snapshots();
    void write_snapshot();
    void write_head();
    void back_off(helpers::time_point now);
    void answer(const helpers::request_id& request, claim_verdict verdict);
    std::string key(std::string_view name) const;
    const claim_record* latest(const claim_key& key) const;

    journal_settings settings;
    step_kind step = step_kind::idle;
    bool is_loaded = false;
    // Invariant: durable, version and table are what one version of the head object says.
    journal_head durable;
    std::uint64_t version = 0;
    claim_table table;
    // Head that is being loaded, and the snapshots that are still to be read.
    journal_head loading;
    std::uint64_t loading_version = 0;
    std::vector<std::string> to_read;
    std::set<std::string, std::less<>> read_names;
    std::deque<waiting_call> waiting;
    batch current;
    bool is_update_lost = false;
    record_map overlay;
    std::uint64_t last_nonce = 0;
    helpers::time_point last_commit{};
    helpers::time_point retry_at{};
    helpers::duration retry{};
    // When this journal was loaded first, and where the floor stood then.
    std::optional<helpers::time_point> loaded_at;
    helpers::wall_milliseconds floor_at_load = 0;
    std::vector<journal_action> actions;
};

} // namespace samphirespool::claims
