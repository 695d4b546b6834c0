// One completion in an engine's batch: the deterministic text, and the form of its answer.
#pragma once

#include "helpers/time.hpp"
#include "http/server.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace samphirespool::standins {

// Faults that a control call puts on the next requests.
enum class answer_fault : std::uint8_t {
    none,
    wrong_request_id,
    duplicate,
    truncate,
    late,
    error,
    hang,
};

struct generation {
    std::unique_ptr<http::exchange> caller;
    std::string request_id;
    std::string model;
    bool stream = false;
    std::uint64_t prompt_hash = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0;
    std::uint64_t max_tokens = 0;
    answer_fault fault = answer_fault::none;
    // No token comes out before this time.
    helpers::time_point prefill_until{};
    // Next token to come out.
    std::uint64_t position = 0;
    // Part of a token earned but not yet out.
    double earned = 0;
    std::string text;
    // Set when the caller departed: the batch drops it.
    bool departed = false;
};

http::header_list answer_headers(const generation& each);

// The server-sent event of one token.
void append_token_event(const generation& each, std::string& out);
void append_last_events(const generation& each, std::string& out);
std::string whole_answer(const generation& each);

} // namespace samphirespool::standins
