// One completion in an engine's batch, and the wire format of its response.
#pragma once

#include "helpers/time.hpp"
#include "http/server.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace samphirespool::standins {

// Faults that a control call sets for the next requests.
enum class response_fault : std::uint8_t {
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
    response_fault fault = response_fault::none;
    // No token is generated before this time.
    helpers::time_point prefill_until{};
    // Position of the next token to generate.
    std::uint64_t position = 0;
    // Tokens due by the rate but not yet generated, as the rate yields fractions of a token.
    double fractional_tokens = 0;
    std::string text;
    // Set when the caller has disconnected; the next step removes the completion from the batch.
    bool disconnected = false;
};

http::header_list response_headers(const generation& completion);

// Appends the server-sent event of the token at the current position.
void append_token_event(const generation& completion, std::string& out);
void append_final_events(const generation& completion, std::string& out);
std::string complete_response(const generation& completion);

} // namespace samphirespool::standins
