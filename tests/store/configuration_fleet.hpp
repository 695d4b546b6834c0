// A fleet of configuration stores on one manual loop, connected by an in-memory network and sharing
// one fake object store.
#pragma once

#include "store/configuration_store.hpp"
#include "tests/store/fake_object_store.hpp"
#include "wire/configuration_codec.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace samphirespool::tests {

class fake_network {
public:
    explicit fake_network(kernel::loop& loop) : loop(loop) {}

    class port final : public config::configuration_network {
    public:
        port(fake_network& owner, helpers::endpoint address)
            : owner(owner), address(std::move(address)) {
            owner.ports[this->address] = this;
        }
        ~port() override { this->owner.ports.erase(this->address); }
        void send(const helpers::endpoint& to,
                  const config::configuration_message& message) override {
            this->owner.deliver(this->address, to, wire::encode(message));
        }
        void set_receiver(receiver new_handler) override { this->handler = std::move(new_handler); }

    private:
        friend class fake_network;
        fake_network& owner;
        helpers::endpoint address;
        receiver handler;
    };

    // Share of messages that are lost, 0 to 1.
    double lost_share = 0;
    // Messages from the first to the second address are lost if this returns true.
    std::function<bool(const helpers::endpoint&, const helpers::endpoint&)> is_cut;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;

private:
    // Delivers the message after a millisecond, unless it is lost.
    void deliver(const helpers::endpoint& from, const helpers::endpoint& to,
                 std::vector<std::uint8_t> payload) {
        ++this->messages;
        this->bytes += payload.size();
        if (this->random.fraction() < this->lost_share || (this->is_cut && this->is_cut(from, to)))
            return;
        this->loop.schedule(std::chrono::milliseconds(1),
                            [this, from, to, payload = std::move(payload)] {
                                const auto found = this->ports.find(to);
                                if (found == this->ports.end() || !found->second->handler)
                                    return;
                                const auto message = wire::decode_configuration(payload);
                                if (message)
                                    found->second->handler(from, *message);
                            });
    }

    kernel::loop& loop;
    kernel::random_source random{7};
    std::map<helpers::endpoint, port*> ports;
};

class fake_directory final : public config::peer_directory {
public:
    config::peer_router own;
    std::vector<config::peer_router> peer_routers;
    const config::peer_router& self() const override { return this->own; }
    const std::vector<config::peer_router>& peers() const override { return this->peer_routers; }
};

// One incarnation of one router.
struct fake_router {
    fake_router(kernel::loop& loop, shared_store& shared, fake_network& network,
                fake_directory directory, std::uint64_t incarnation)
        : random(incarnation),
          objects(shared),
          port(network, directory.own.address),
          directory(std::move(directory)) {
        store::configuration_store_settings settings;
        this->store = std::make_unique<store::configuration_store>(
            loop, this->random, this->events, this->objects, this->port, this->directory, settings);
        this->store->on_change([this] {
            const auto current = this->store->current();
            if (current == nullptr)
                return;
            if (current->version < this->last_version)
                this->version_decreased = true;
            this->last_version = current->version;
        });
        this->store->start();
    }

    config::configuration_version version() const {
        const auto current = this->store->current();
        return current == nullptr ? 0 : current->version;
    }

    kernel::random_source random;
    kernel::null_sink events;
    fake_object_store objects;
    fake_network::port port;
    fake_directory directory;
    std::unique_ptr<store::configuration_store> store;
    config::configuration_version last_version = 0;
    // Whether the version in force has ever decreased.
    bool version_decreased = false;
};

struct configuration_fleet {
    explicit configuration_fleet(std::size_t size, std::size_t regions = 1, std::uint64_t seed = 1)
        : shared(loop, seed), regions(regions), routers(size) {
        for (std::size_t i = 0; i < size; ++i)
            this->start_router(i);
    }

    config::peer_router identity(std::size_t index) const {
        return {"r" + std::to_string(index),
                "region" + std::to_string(index % this->regions),
                {"10.0.0." + std::to_string(index), 1}};
    }

    // Starts the router; if it is running, stops it first.
    void start_router(std::size_t index) {
        fake_directory directory;
        directory.own = this->identity(index);
        for (std::size_t i = 0; i < this->routers.size(); ++i)
            if (i != index)
                directory.peer_routers.push_back(this->identity(i));
        this->routers[index].reset();
        this->routers[index] =
            std::make_unique<fake_router>(this->loop, this->shared, this->network,
                                          std::move(directory), ++this->last_incarnation);
    }

    bool all_at(config::configuration_version version) const {
        for (const auto& router : this->routers)
            if (router != nullptr && router->version() != version)
                return false;
        return true;
    }

    // Advances the loop until the condition holds. Returns the elapsed time, at most the limit.
    helpers::duration run_until(const std::function<bool()>& condition,
                                helpers::duration limit = std::chrono::seconds(30)) {
        helpers::duration elapsed{};
        constexpr auto step = std::chrono::milliseconds(10);
        while (!condition() && elapsed < limit) {
            this->loop.advance(step);
            elapsed += step;
        }
        return elapsed;
    }

    // Submits a change at the router and runs until its result.
    config::change_result change(std::size_t index, config::change_request request) {
        std::optional<config::change_result> result;
        this->routers[index]->store->change(
            std::move(request),
            [&result](const config::change_result& received) { result = received; });
        this->run_until([&result] { return result.has_value(); });
        return result.value_or(config::change_result{});
    }

    kernel::manual_loop loop;
    shared_store shared;
    fake_network network{loop};
    std::size_t regions;
    std::uint64_t last_incarnation = 0;
    std::vector<std::unique_ptr<fake_router>> routers;
};

} // namespace samphirespool::tests
