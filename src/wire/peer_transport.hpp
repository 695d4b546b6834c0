// Interface of the messages between routers: best effort, in order per peer, bounded queues.
#pragma once

#include "helpers/endpoint.hpp"
#include "wire/frame.hpp"

#include <cstdint>
#include <functional>
#include <span>

namespace samphirespool::wire {

using frame_receiver =
    std::function<void(const helpers::endpoint& from, std::span<const std::uint8_t> payload)>;

class peer_transport {
public:
    virtual ~peer_transport() = default;

    // Queues a payload for the router whose peer address is given. A payload may be lost: when the
    // connection fails, or when the peer's queue is full. Every protocol above repeats by itself.
    virtual void send(const helpers::endpoint& to, frame_kind kind,
                      std::span<const std::uint8_t> payload) = 0;

    // Sets the one receiver of a kind. `from` is the peer address that the sender announced.
    virtual void set_receiver(frame_kind kind, frame_receiver receiver) = 0;
};

} // namespace samphirespool::wire
