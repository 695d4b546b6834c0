// FlatBuffers encoding of the messages of the failure detector, and the outbox that sends them over
// the transport.
#pragma once

#include "membership/message.hpp"
#include "wire/frame_codec.hpp"
#include "wire/peer_transport.hpp"

#include <optional>

namespace samphirespool::wire {

bytes encode_membership(const membership::message& content);

// Returns nothing if the payload is not a valid message.
std::optional<membership::message> decode_membership(std::span<const std::uint8_t> payload);

class membership_outbox final : public membership::message_outbox {
public:
    explicit membership_outbox(peer_transport& transport) : transport(transport) {}
    void send(const helpers::endpoint& to, const membership::message& content) override {
        this->transport.send(to, frame_kind::membership, encode_membership(content));
    }

private:
    peer_transport& transport;
};

} // namespace samphirespool::wire
