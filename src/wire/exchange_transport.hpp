// Carries the messages of the load exchange over the transport between processes.
#pragma once

#include "exchange/exchange_link.hpp"
#include "wire/peer_transport.hpp"

namespace samphirespool::wire {

class exchange_transport final : public exchange::exchange_link {
public:
    explicit exchange_transport(peer_transport& transport);

    void send(const helpers::endpoint& to, const exchange::report& message) override;
    void send(const helpers::endpoint& to, const exchange::reply& message) override;
    void
    on_report(std::function<void(const helpers::endpoint&, exchange::report)> handler) override {
        this->report_handler = std::move(handler);
    }
    void on_reply(std::function<void(const helpers::endpoint&, exchange::reply)> handler) override {
        this->reply_handler = std::move(handler);
    }

private:
    peer_transport& transport;
    std::function<void(const helpers::endpoint&, exchange::report)> report_handler;
    std::function<void(const helpers::endpoint&, exchange::reply)> reply_handler;
};

} // namespace samphirespool::wire
