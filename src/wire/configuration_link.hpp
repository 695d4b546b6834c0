// Carries the configuration messages over the transport between routers.
#pragma once

#include "config/configuration_network.hpp"
#include "wire/peer_transport.hpp"

#include <cstdint>

namespace samphirespool::wire {

class configuration_link final : public config::configuration_network {
public:
    explicit configuration_link(peer_transport& transport);
    void send(const helpers::endpoint& to, const config::configuration_message& message) override;
    void set_receiver(receiver handler) override { this->handler = std::move(handler); }

    // Payloads that could not be decoded.
    std::uint64_t dropped() const { return this->dropped_count; }

private:
    peer_transport& transport;
    receiver handler;
    std::uint64_t dropped_count = 0;
};

} // namespace samphirespool::wire
