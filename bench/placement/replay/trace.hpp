// The parameters of a trace: the size of a fleet, its traffic, scheduled events and the expected
// results of the replay. The requests are generated from the seed and are the same for every
// strategy.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace samphirespool::replay {

struct traced_service {
    std::string name;
    std::uint32_t targets = 0;
    std::uint32_t warm_capacity = 64;
    std::uint32_t cold_allowance = 2;
    // Capacity of one engine's prefix cache in prompt tokens; 0 for a plain service.
    std::uint32_t cache_tokens = 0;
};

// One traffic class of a service.
struct traced_traffic {
    std::string service;
    double requests_per_second = 0;
    std::uint32_t organisations = 1;
    // Documents per organisation, each a shared prefix of several of its chats, and their size.
    std::uint32_t documents = 1;
    std::uint32_t document_tokens = 0;
    // Prompt tokens that each turn adds to a chat, and tokens of a response.
    std::uint32_t turn_tokens = 0;
    std::uint32_t output_tokens = 0;
    // Shares of requests that continue a recently used chat and one of the `old_chats` that exist
    // at the start; the remaining requests open a new chat.
    double recent_share = 0;
    double old_share = 0;
    std::uint32_t old_chats = 0;
};

enum class traced_action : std::uint8_t {
    drain_centre,
    return_centre,
    lose_target,
    restart_target,
    make_cold,
    surge,
    stop_reports,
};

struct traced_event {
    double at_seconds = 0;
    traced_action action = traced_action::drain_centre;
    // `subject` is the number of a data centre, of an organisation, or of a target of `service`.
    std::string service;
    std::uint32_t subject = 0;
    // Of a surge: multiple of the organisation's request rate, and duration.
    double factor = 1;
    double seconds = 0;
};

// An expected result: a figure that must be at most (<=) or at least (>=) a bound.
struct expectation {
    std::string figure;
    bool at_most = true;
    double bound = 0;
};

struct trace {
    std::string name;
    std::uint64_t seed = 1;
    double seconds = 0;
    std::uint32_t routers = 8;
    std::uint32_t regions = 1;
    std::uint32_t data_centres = 1;
    // Longest delay until a router learns of a change; the delays of the routers are spread evenly
    // below it.
    double view_lag_seconds = 3;
    double load_multiple = 1.25;
    double deadline_seconds = 30;
    double return_seconds = 300;
    std::vector<traced_service> services;
    std::vector<traced_traffic> traffic;
    std::vector<traced_event> events;
    std::vector<expectation> expectations;

    bool surges_at(double at_seconds) const;
};

// Reads a trace file: one statement per line, # starts a comment. Returns nothing if the file can't
// be opened or a line is malformed, with the reason or the line in `fault`.
std::optional<trace> read_trace(const std::string& file, std::string& fault);

} // namespace samphirespool::replay
