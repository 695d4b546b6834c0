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
    // File name, for the list of sources.
    std::string name;
    std::string_view text;
};

struct timeline_entry {
    kernel::hybrid_time time;
    helpers::wall_milliseconds wall = 0;
    std::string level;
    std::string process;
    std::string event;
    // Request id; empty if the event belongs to no request.
    std::string request;
    // The event's fields and all members of the line that this version does not recognize, as one
    // JSON object.
    std::string fields;
    // Index into timeline::sources.
    std::size_t source = 0;
};

// Line counts of one log. Invariant: lines = events + unreadable + incomplete.
struct log_statistics {
    std::string name;
    std::size_t lines = 0;
    std::size_t events = 0;
    // Lines that are no JSON object, such as one truncated by a crash.
    std::size_t unreadable = 0;
    // JSON objects in which hybrid, logical, process or event is missing or invalid.
    std::size_t incomplete = 0;
    // Events with members that this version does not recognize; these are shown among the fields.
    std::size_t with_unknown_members = 0;
    // Events whose hybrid time is before that of an earlier event of the same process in the file.
    std::size_t backwards = 0;
};

struct timeline {
    // Invariant: in ascending order of hybrid time, then process, then position in the log.
    std::vector<timeline_entry> entries;
    std::vector<log_statistics> sources;
};

// Reads and merges the logs. Lines that cannot be read are counted in their log's statistics.
timeline merge_logs(std::span<const log_text> logs);

// One line per event, then one line per log with its statistics.
std::string timeline_text(const timeline& merged);

// One HTML page with a column per process; it needs no other file and no network.
std::string timeline_html(const timeline& merged);

} // namespace samphirespool::debug
