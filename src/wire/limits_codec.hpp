// FlatBuffers encoding of the messages about the limits of organisations.
#pragma once

#include "admission/limit_messages.hpp"
#include "wire/frame_codec.hpp"

#include <optional>
#include <span>
#include <vector>

namespace samphirespool::wire {

struct limits_message {
    std::vector<admission::usage_report> reports;
    std::vector<admission::limit_share> shares;
};

bytes encode_limits(const limits_message& content);

// Returns nothing if the payload is not a valid message.
std::optional<limits_message> decode_limits(std::span<const std::uint8_t> payload);

} // namespace samphirespool::wire
