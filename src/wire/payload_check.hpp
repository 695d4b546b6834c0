// Checks of received payloads by the FlatBuffers verifier of their kind's schema.
#pragma once

#include "wire/frame.hpp"

#include <cstdint>
#include <span>

namespace samphirespool::wire {

// A kind whose schema is not listed in the table passes; its own decoder verifies it.
bool payload_is_valid(frame_kind kind, std::span<const std::uint8_t> payload);

} // namespace samphirespool::wire
