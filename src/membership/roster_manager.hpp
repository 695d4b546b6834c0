// Maintains the roster of this router's region. Only the writer, which is the router with
// the lowest id among those of the region that are alive and not leaving, reads and writes it in
// the store and sends it to its peers, so that store calls do not grow with the number of routers.
// Does no I/O: returns the store call that is due and takes the reply.
#pragma once

#include "kernel/clock.hpp"
#include "membership/membership_view.hpp"
#include "membership/message.hpp"
#include "membership/roster.hpp"

#include <functional>
#include <map>
#include <optional>

namespace samphirespool::membership {

struct roster_timing {
    helpers::duration read_interval = std::chrono::seconds(2);
    helpers::duration push_interval = std::chrono::milliseconds(300);
    // How long the desired members must stay the same before they are written.
    helpers::duration min_stable_time = std::chrono::milliseconds(700);
    // Longest duration of a grant: a router whose process has stopped keeps its entry until the
    // grants that only it knew have expired.
    helpers::duration max_grant_duration = std::chrono::minutes(11);
};

// One call of the store; a write is conditional on the version.
struct roster_store_call {
    bool write = false;
    std::string key;
    std::uint64_t expected_version = 0;
    std::string value;
};

enum class roster_store_outcome : std::uint8_t {
    ok,
    not_found,
    conflict,
    // Rejected, lost or unreachable.
    failed,
};

class roster_manager {
public:
    roster_manager(const kernel::clock& time, membership_view& view, message_outbox& outbox,
                   roster_timing timing = {});

    // To be called about every 50 ms.
    void tick();

    // The store call that is due, if any; the next one follows after on_store_reply(). The reply to
    // a read has the object's version and value, that to a write its new version.
    std::optional<roster_store_call> next_call();
    void on_store_reply(roster_store_outcome outcome, std::uint64_t version,
                        std::string_view value);

    // For message_type::roster and roster_ack; others are ignored.
    void on_message(const helpers::endpoint& from, const message& received);

    const roster& current() const { return this->current_roster; }
    // Sets a listener that runs after current() changed, before the new version is confirmed to the
    // writer.
    void on_change(std::function<void()> listener) { this->listener = std::move(listener); }
    // Sets the condition under which this router confirms an unsettled version.
    void confirm_when(std::function<bool()> condition) { this->may_confirm = std::move(condition); }
    // Whether this router reads and writes the roster in the store.
    bool is_writer() const;

private:
    void adopt(roster updated);
    void plan_next_version();
    std::vector<roster_entry> desired_members() const;
    bool keeps_entry(const roster_entry& entry) const;
    bool confirmed_by_all() const;
    void push_roster();

    const kernel::clock& time;
    membership_view& view;
    message_outbox& outbox;
    roster_timing timing;
    std::function<void()> listener;
    std::function<bool()> may_confirm = [] { return true; };
    // Invariant: the version never decreases.
    roster current_roster;
    // Version of the store's object when it was last read.
    std::uint64_t object_version = 0;
    // The object was read since the last write, and is not older than current_roster.
    bool store_checked = false;
    bool call_in_flight = false;
    std::optional<roster_store_call> due_call;
    helpers::time_point next_read;
    helpers::time_point next_push;
    // The desired members, and since when they are unchanged.
    std::vector<roster_entry> candidate;
    helpers::time_point candidate_since;
    // Highest version that each process confirmed.
    std::map<std::pair<helpers::router_id, helpers::incarnation>, std::uint64_t> confirmed;
};

} // namespace samphirespool::membership
