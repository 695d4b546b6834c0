// Generates the requests of a trace from its seed before the replay starts.
#pragma once

#include "bench/placement/replay/trace.hpp"
#include "helpers/ids.hpp"

#include <cstdint>
#include <vector>

namespace samphirespool::replay {

struct arrival {
    double at_seconds = 0;
    std::uint32_t service = 0;
    std::uint32_t organisation = 0;
    std::uint32_t router = 0;
    helpers::chat_key key;
    // Hashes that identify the prompt's two segments, whose blocks engines may cache.
    std::uint64_t document = 0;
    std::uint64_t chat = 0;
    std::uint32_t document_tokens = 0;
    std::uint32_t chat_tokens = 0;
    std::uint32_t output_tokens = 0;
    bool returning = false;
    // True if the organisation surges at any time of the trace.
    bool surging = false;

    std::uint32_t prompt_tokens() const { return this->document_tokens + this->chat_tokens; }
    std::uint32_t cost() const { return this->prompt_tokens() + this->output_tokens; }
};

// Returns the requests in order of time. Without surges, the other requests stay the same.
std::vector<arrival> generate(const trace& replayed_trace, bool with_surges);

} // namespace samphirespool::replay
