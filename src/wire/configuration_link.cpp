// Encodes and sends configuration messages, and decodes received ones.
#include "wire/configuration_link.hpp"

#include "wire/configuration_codec.hpp"

namespace samphirespool::wire {

configuration_link::configuration_link(peer_transport& transport) : transport(transport) {
    transport.set_receiver(frame_kind::configuration,
                           [this](const auto& from, std::span<const std::uint8_t> payload) {
                               const auto message = decode_configuration(payload);
                               if (!message)
                                   ++this->dropped_count;
                               else if (this->handler)
                                   this->handler(from, *message);
                           });
}

void configuration_link::send(const helpers::endpoint& to,
                              const config::configuration_message& message) {
    this->transport.send(to, frame_kind::configuration, encode(message));
}

} // namespace samphirespool::wire
