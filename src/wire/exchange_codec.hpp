// FlatBuffers encoding of the messages of the load exchange.
#pragma once

#include "exchange/message.hpp"
#include "wire/frame_codec.hpp"

#include <optional>
#include <span>
#include <variant>

namespace samphirespool::wire {

using exchange_message = std::variant<exchange::report, exchange::reply>;

bytes encode_exchange(const exchange_message& content);

// Returns nothing if the payload is not a valid message.
std::optional<exchange_message> decode_exchange(std::span<const std::uint8_t> payload);

} // namespace samphirespool::wire
