// Encodes and sends messages of the load exchange, and decodes received ones.
#include "wire/exchange_transport.hpp"

#include "wire/exchange_codec.hpp"

namespace samphirespool::wire {

exchange_transport::exchange_transport(peer_transport& transport) : transport(transport) {
    transport.set_receiver(frame_kind::exchange, [this](const auto& from, auto payload) {
        auto received = decode_exchange(payload);
        if (!received)
            return;
        if (auto* report = std::get_if<exchange::report>(&*received)) {
            if (this->report_handler)
                this->report_handler(from, std::move(*report));
        } else if (this->reply_handler) {
            this->reply_handler(from, std::move(std::get<exchange::reply>(*received)));
        }
    });
}

void exchange_transport::send(const helpers::endpoint& to, const exchange::report& message) {
    this->transport.send(to, frame_kind::exchange, encode_exchange(message));
}

void exchange_transport::send(const helpers::endpoint& to, const exchange::reply& message) {
    this->transport.send(to, frame_kind::exchange, encode_exchange(message));
}

} // namespace samphirespool::wire
