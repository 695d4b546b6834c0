// Interface for messages between the processes of the fleet: best-effort delivery, in order per
// peer, with bounded queues.
#pragma once

#include "helpers/endpoint.hpp"
#include "wire/frame.hpp"

#include <cstdint>
#include <functional>
#include <span>

namespace samphirespool::wire {

// `from` is the peer address that the sender announced. `payload` is valid during the call.
using frame_receiver =
    std::function<void(const helpers::endpoint& from, std::span<const std::uint8_t> payload)>;

class peer_transport {
public:
    virtual ~peer_transport() = default;

    // Queues a payload for the peer at the given address. It can be lost if the connection fails or
    // if the peer's queue is full; the protocols on top retry on their own.
    virtual void send(const helpers::endpoint& to, frame_kind kind,
                      std::span<const std::uint8_t> payload) = 0;

    // Sets the receiver for frames of this kind and replaces an earlier one.
    virtual void set_receiver(frame_kind kind, frame_receiver receiver) = 0;
};

} // namespace samphirespool::wire
