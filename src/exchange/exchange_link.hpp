// Sends and receives the messages of the load exchange. Messages can be lost.
#pragma once

#include "exchange/message.hpp"
#include "helpers/endpoint.hpp"

#include <functional>

namespace samphirespool::exchange {

class exchange_link {
public:
    virtual ~exchange_link() = default;
    virtual void send(const helpers::endpoint& to, const report& message) = 0;
    virtual void send(const helpers::endpoint& to, const reply& message) = 0;

    // Each handler is set once. `from` is the peer address that the sender announced.
    virtual void on_report(std::function<void(const helpers::endpoint& from, report)> handler) = 0;
    virtual void on_reply(std::function<void(const helpers::endpoint& from, reply)> handler) = 0;
};

} // namespace samphirespool::exchange
