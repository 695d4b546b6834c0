// The requests of a trace, generated from its seed before the replay starts.
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
    // Names of the prompt's two parts, whose blocks engines may hold in their caches.
    std::uint64_t document = 0;
    std::uint64_t chat = 0;
    std::uint32_t document_tokens = 0;
    std::uint32_t chat_tokens = 0;
    std::uint32_t output_tokens = 0;
    bool returning = false;
    // Belongs to an organisation that surges at some time of the trace.
    bool surging = false;

    std::uint32_t prompt_tokens() const { return this->document_tokens + this->chat_tokens; }
    std::uint32_t cost() const { return this->prompt_tokens() + this->output_tokens; }
};

// Ordered by time. Without surges, the other requests are the same.
std::vector<arrival> generate(const trace& from, bool with_surges);

} // namespace samphirespool::replay
