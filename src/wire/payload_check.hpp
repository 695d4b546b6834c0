// Verifies received payloads with the FlatBuffers verifier of their kind's schema.
#pragma once

#include "wire/frame.hpp"

#include <cstdint>
#include <span>

namespace samphirespool::wire {

// Also returns true for kinds that are not verified here; their decoders verify them.
bool payload_is_valid(frame_kind kind, std::span<const std::uint8_t> payload);

} // namespace samphirespool::wire
