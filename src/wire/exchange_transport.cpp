// Encodes, sends and receives messages of the exchange.
#include "wire/exchange_transport.hpp"

#include "wire/exchange_codec.hpp"

namespace samphirespool::wire {

exchange_transport::exchange_transport(peer_transport& transport) : transport(transport) {
    transport.receive(frame_kind::exchange, [this](const auto& from, auto payload) {
        auto received = decode_exchange(payload);
        if (!received)
            return;
        if (auto* report = std::get_if<exchange::report>(&*received)) {
            if (this->report_task)
                this->report_task(from, std::move(*report));
        } else if (this->answer_task) {
            this->answer_task(from, std::move(std::get<exchange::reply>(*received)));
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
