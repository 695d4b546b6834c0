// The exchange over the transport between processes.
#pragma once

#include "exchange/exchange_link.hpp"
#include "wire/peer_transport.hpp"

namespace samphirespool::wire {

class exchange_transport final : public exchange::exchange_link {
public:
    explicit exchange_transport(peer_transport& transport);

    void send(const helpers::endpoint& to, const exchange::report& message) override;
    void send(const helpers::endpoint& to, const exchange::reply& message) override;
    void on_report(std::function<void(const helpers::endpoint&, exchange::report)> task) override {
        this->report_task = std::move(task);
    }
    void on_reply(std::function<void(const helpers::endpoint&, exchange::reply)> task) override {
        this->answer_task = std::move(task);
    }

private:
    peer_transport& transport;
    std::function<void(const helpers::endpoint&, exchange::report)> report_task;
    std::function<void(const helpers::endpoint&, exchange::reply)> answer_task;
};

} // namespace samphirespool::wire
