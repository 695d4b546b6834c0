// In-process network for claim messages between routers: each message is delivered by the event
// loop, without sockets.
#pragma once

#include "claims/claim_network.hpp"
#include "config/configuration_network.hpp"
#include "kernel/loop.hpp"

#include <map>
#include <utility>
#include <vector>

namespace samphirespool::bench {

class local_network {
public:
    explicit local_network(kernel::loop& loop) : loop(loop) {}

    class port final : public claims::claim_network {
    public:
        port(local_network& owner, helpers::endpoint address)
            : owner(owner), address(std::move(address)) {
            owner.ports[this->address] = this;
        }
        void send(const helpers::endpoint& to, const claims::claim_call& call) override {
            this->owner.loop.post([this, target = this->owner.ports.at(to), call] {
                if (target->call_handler)
                    target->call_handler(this->address, call);
            });
        }
        void send(const helpers::endpoint& to, const claims::call_reply& reply) override {
            this->owner.loop.post([target = this->owner.ports.at(to), reply] {
                if (target->reply_handler)
                    target->reply_handler(reply);
            });
        }
        void set_call_handler(
            std::function<void(const helpers::endpoint&, const claims::claim_call&)> handler)
            override {
            this->call_handler = std::move(handler);
        }
        void set_reply_handler(std::function<void(const claims::call_reply&)> handler) override {
            this->reply_handler = std::move(handler);
        }

    private:
        local_network& owner;
        helpers::endpoint address;
        std::function<void(const helpers::endpoint&, const claims::claim_call&)> call_handler;
        std::function<void(const claims::call_reply&)> reply_handler;
    };

private:
    kernel::loop& loop;
    std::map<helpers::endpoint, port*> ports;
};

class static_directory final : public config::peer_directory {
public:
    static_directory(config::peer_router own, std::vector<config::peer_router> peer_routers)
        : own(std::move(own)), peer_routers(std::move(peer_routers)) {}
    const config::peer_router& self() const override { return this->own; }
    const std::vector<config::peer_router>& peers() const override { return this->peer_routers; }

private:
    config::peer_router own;
    std::vector<config::peer_router> peer_routers;
};

} // namespace samphirespool::bench
