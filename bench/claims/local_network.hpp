// Claims between routers of one process: messages pass through the loop, without sockets.
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
                if (target->calls)
                    target->calls(this->address, call);
            });
        }
        void send(const helpers::endpoint& to, const claims::call_reply& answer) override {
            this->owner.loop.post([target = this->owner.ports.at(to), answer] {
                if (target->answers)
                    target->answers(answer);
            });
        }
        void set_call_handler(
            std::function<void(const helpers::endpoint&, const claims::claim_call&)> handler)
            override {
            this->calls = std::move(handler);
        }
        void set_reply_handler(std::function<void(const claims::call_reply&)> handler) override {
            this->answers = std::move(handler);
        }

    private:
        local_network& owner;
        helpers::endpoint address;
        std::function<void(const helpers::endpoint&, const claims::claim_call&)> calls;
        std::function<void(const claims::call_reply&)> answers;
    };

private:
    kernel::loop& loop;
    std::map<helpers::endpoint, port*> ports;
};

class fixed_directory final : public config::peer_directory {
public:
    fixed_directory(config::peer_router own, std::vector<config::peer_router> others)
        : own(std::move(own)), others(std::move(others)) {}
    const config::peer_router& self() const override { return this->own; }
    const std::vector<config::peer_router>& peers() const override { return this->others; }

private:
    config::peer_router own;
    std::vector<config::peer_router> others;
};

} // namespace samphirespool::bench
