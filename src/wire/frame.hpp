// Kinds and size limit of the frames between the processes of the fleet.
#pragma once

#include <cstddef>
#include <cstdint>

namespace samphirespool::wire {

// Type of a frame's payload, which is one FlatBuffers root table. The numbers are part of the
// protocol.
enum class frame_kind : std::uint8_t {
    membership = 1,
    shares = 2,
    configuration = 3,
    claims = 4,
    limits = 5,
    exchange = 6,
};

constexpr std::uint8_t protocol_version = 1;
// Of a whole frame, including its header.
constexpr std::size_t max_frame_bytes = std::size_t{1024} * 1024;

} // namespace samphirespool::wire
