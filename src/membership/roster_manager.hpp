// Keeps the roster of this router's region. Only the lowest live router of the region reads and
// writes it in the store and hands it to the others, so that store calls do not grow with the
// number of routers. Pure: it says which store call is due and is told the outcome.
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
    helpers::duration read_period = std::chrono::seconds(2);
    helpers::duration push_period = std::chrono::milliseconds(300);
    // How long the wanted list must stay the same before it is written.
    helpers::duration settle = std::chrono::milliseconds(700);
    // Longest life of a grant: a router whose process is over keeps its place until what only it
    // knew has ended.
    helpers::duration longest_grant = std::chrono::minutes(11);
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
    // Refused, lost or unreachable.
    failed,
};

class roster_manager {
public:
    roster_manager(const kernel::clock& time, membership_view& view, message_outbox& outbox,
                   roster_timing timing = {});

    // To be called every 50 ms or so.
    void tick();

    // The store call that is due, if any; the next one comes after on_store_reply(). A read
    // answers with the object's version and value, a write with its new version.
    std::optional<roster_store_call> next_call();
    void on_store_reply(roster_store_outcome outcome, std::uint64_t version,
                        std::string_view value);

    // For message_type::roster and roster_ack; others are ignored.
    void on_message(const helpers::endpoint& from, const message& received);

    const roster& current() const { return this->known; }
    // Runs after current() changed, before the new version is confirmed to anyone.
    void on_change(std::function<void()> listener) { this->listener = std::move(listener); }
    // Asked before this router confirms an unsettled version.
    void confirm_when(std::function<bool()> condition) { this->may_confirm = std::move(condition); }
    bool is_writer() const;

private:
    void adopt(roster fresh);
    void consider();
    std::vector<roster_entry> wanted_members() const;
    bool keeps_place(const roster_entry& entry) const;
    bool adopted_by_all() const;
    void push();

    const kernel::clock& time;
    membership_view& view;
    message_outbox& outbox;
    roster_timing timing;
    std::function<void()> listener;
    std::function<bool()> may_confirm = [] { return true; };
    // Invariant: the version never decreases.
    roster known;
    // Version of the object in the store when it last held `known`.
    std::uint64_t object_version = 0;
    bool store_checked = false;
    bool call_under_way = false;
    std::optional<roster_store_call> due;
    helpers::time_point next_read;
    helpers::time_point next_push;
    std::vector<roster_entry> candidate;
    helpers::time_point candidate_since;
    // Highest version that each process confirmed.
    std::map<std::pair<helpers::router_id, helpers::incarnation>, std::uint64_t> confirmed;
};

} // namespace samphirespool::membership
