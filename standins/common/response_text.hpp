// The text of stand-in engines' responses. It depends on the prompt alone, so that a caller can
// check that a response is complete and belongs to its prompt.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace samphirespool::standins {

constexpr std::size_t token_bytes = 6;

inline std::uint64_t prompt_hash(std::string_view prompt) {
    return XXH3_64bits(prompt.data(), prompt.size());
}

// Returns the prompt segment of one chat message.
inline std::string prompt_segment(std::string_view role, std::string_view content) {
    std::string part(role);
    part.append("\n").append(content).append("\n");
    return part;
}

inline std::string token_text(std::uint64_t hash_of_prompt, std::uint64_t position) {
    constexpr std::string_view digits = "0123456789abcdef";
    const auto hash = XXH3_64bits_withSeed(&position, sizeof(position), hash_of_prompt);
    std::string text = " w";
    for (unsigned shift = 0; shift < 16; shift += 4)
        text += digits[(hash >> shift) & 15U];
    return text;
}

} // namespace samphirespool::standins
