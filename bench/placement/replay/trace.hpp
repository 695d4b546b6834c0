// A recorded trace as parameters: the shape of a fleet, its traffic, what happens to it, and the
// outcomes that the replay must reach. The requests themselves are generated from the seed, the
// same for every strategy.
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
    // Tokens of prompts that one engine's cache holds; 0: a plain service.
    std::uint32_t cache_tokens = 0;
};

// One kind of traffic of a service.
struct traced_traffic {
    std::string service;
    double requests_per_second = 0;
    std::uint32_t organisations = 1;
    // Documents of each organisation, which its chats share, and their size.
    std::uint32_t documents = 1;
    std::uint32_t document_tokens = 0;
    // What each turn adds to a chat, and the length of an answer.
    std::uint32_t turn_tokens = 0;
    std::uint32_t output_tokens = 0;
    // Share of requests that continue a chat of the last minutes, and of those that continue one of
    // the old chats; the rest open a chat.
    double recent_share = 0;
    double old_share = 0;
    std::uint32_t old_chats = 0;
};

enum class traced_action : std::uint8_t {
    leave,
    come_back,
    lose_target,
    restart_target,
    turn_cold,
    surge,
    stop_reports,
};

struct traced_event {
    double at_seconds = 0;
    traced_action action = traced_action::leave;
    // Data centre, target or organisation by number, within the service if it is a target.
    std::string service;
    std::uint32_t subject = 0;
    // Of a surge.
    double factor = 1;
    double seconds = 0;
};

// A stated outcome: figure, comparison (<= or >=) and bound.
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
    // Routers learn of a change after up to this long, each after its own time.
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

// Reads the text form: one statement a line, # starts a comment. Nothing and the faulty line in
// `fault` if it is malformed.
std::optional<trace> read_trace(const std::string& file, std::string& fault);

} // namespace samphirespool::replay
