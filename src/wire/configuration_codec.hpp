// FlatBuffers encoding of the configuration messages.
#pragma once

#include "config/configuration_network.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace samphirespool::wire {

std::vector<std::uint8_t> encode(const config::configuration_message& message);

// Returns nothing if the payload fails the verifier or if its body type or an enum value is
// unknown.
std::optional<config::configuration_message>
decode_configuration(std::span<const std::uint8_t> payload);

} // namespace samphirespool::wire
