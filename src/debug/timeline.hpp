// Merges the JSON-line logs of all processes into one time line in causal order.
#pragma once

#include "kernel/hybrid_clock.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphirespool::debug {

struct log_text {
    // File name, for messages.
    std::string name;
    std::string_view text;
};

struct timeline_entry {
    kernel::hybrid_time at;
    helpers::wall_milliseconds wall = 0;
    std::string level;
    std::string process;
    std::string event;
    // Empty if the event belongs to none.
    std::string request;
    // The event's fields and all members that are unknown here, as one JSON object.
    std::string fields;
    // Position in timeline::sources.
    std::size_t source = 0;
};

// What was found in one log. Invariant: lines = events + unreadable + incomplete.
struct log_account {
    std::string name;
    std::size_t lines = 0;
    std::size_t events = 0;
    // No JSON object, such as a line cut off by a crash.
    std::size_t unreadable = 0;
    // JSON without one of hybrid, logical, process and event.
    std::size_t incomplete = 0;
    // Events with members that are unknown here; they are shown among the fields.
    std::size_t with_unknown_members = 0;
    // Events whose hybrid time is before that of an earlier event of the same process in the file.
    std::size_t backwards = 0;
};

struct timeline {
    // Invariant: ascending by hybrid time, then process, then place in the log.
    std::vector<timeline_entry> entries;
    std::vector<log_account> sources;
};

timeline merge_logs(std::span<const log_text> logs);

// One line an event, then one line a log with its account.
std::string timeline_text(const timeline& merged);

// One HTML page with a lane per process; it needs no other file and no network.
std::string timeline_html(const timeline& merged);

} // namespace samphirespool::debug
