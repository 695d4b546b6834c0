// Links between gateways in one process, whose messages the test delays, cuts and drops.
#pragma once

#include "exchange/exchange_link.hpp"
#include "kernel/loop.hpp"

#include <functional>
#include <map>
#include <type_traits>

namespace samphirespool::tests {

class fake_network;

struct fake_link final : exchange::exchange_link {
    fake_link(fake_network& network, helpers::endpoint self)
        : network(network), self(std::move(self)) {}
    void send(const helpers::endpoint& to, const exchange::report& message) override;
    void send(const helpers::endpoint& to, const exchange::reply& message) override;
    void
    on_report(std::function<void(const helpers::endpoint&, exchange::report)> handler) override {
        this->report_handler = std::move(handler);
    }
    void on_reply(std::function<void(const helpers::endpoint&, exchange::reply)> handler) override {
        this->reply_handler = std::move(handler);
    }

    fake_network& network;
    helpers::endpoint self;
    bool is_disconnected = false;
    std::function<void(const helpers::endpoint&, exchange::report)> report_handler;
    std::function<void(const helpers::endpoint&, exchange::reply)> reply_handler;
};

class fake_network {
public:
    explicit fake_network(kernel::manual_loop& loop) : loop(loop) {}
    std::map<helpers::endpoint, fake_link*> links;
    helpers::duration delay = std::chrono::milliseconds(1);
    // Returns whether messages between two gateways are lost.
    std::function<bool(const helpers::endpoint&, const helpers::endpoint&)> is_cut;

    template <class Message>
    void deliver(fake_link& from, const helpers::endpoint& to, const Message& message) {
        const auto found = this->links.find(to);
        if (from.is_disconnected || found == this->links.end() || found->second->is_disconnected)
            return;
        if (this->is_cut && this->is_cut(from.self, to))
            return;
        this->loop.schedule(this->delay, [this, to, sender = from.self, message] {
            const auto target = this->links.find(to);
            // The gateway may have stopped meanwhile.
            if (target == this->links.end())
                return;
            if constexpr (std::is_same_v<Message, exchange::report>)
                target->second->report_handler(sender, message);
            else
                target->second->reply_handler(sender, message);
        });
    }

private:
    kernel::manual_loop& loop;
};

inline void fake_link::send(const helpers::endpoint& to, const exchange::report& message) {
    this->network.deliver(*this, to, message);
}

inline void fake_link::send(const helpers::endpoint& to, const exchange::reply& message) {
    this->network.deliver(*this, to, message);
}

} // namespace samphirespool::tests
