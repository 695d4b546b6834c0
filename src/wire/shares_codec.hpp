// FlatBuffers encoding of the messages of the share leases, and the outbox that sends them over the
// transport.
#pragma once

#include "ownership/message.hpp"
#include "wire/frame_codec.hpp"
#include "wire/peer_transport.hpp"

#include <optional>

namespace samphirespool::wire {

bytes encode_shares(const ownership::share_message& content);

// Returns nothing if the payload is not a valid message.
std::optional<ownership::share_message> decode_shares(std::span<const std::uint8_t> payload);

class shares_outbox final : public ownership::share_outbox {
public:
    explicit shares_outbox(peer_transport& transport) : transport(transport) {}
    void send(const helpers::endpoint& to, const ownership::share_message& content) override {
        this->transport.send(to, frame_kind::shares, encode_shares(content));
    }

private:
    peer_transport& transport;
};

} // namespace samphirespool::wire
