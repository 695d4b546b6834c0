// Claim managers of several routers on one manual loop, with a fake store and network.
#pragma once

#include "claims/claim_manager.hpp"
#include "store/journal_store.hpp"
#include "tests/store/configuration_fleet.hpp"
#include "wire/claims_link.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace samphirespool::tests {

// Network between routers; loses frames at random and delivers the others by the loop.
class fake_frames {
public:
    explicit fake_frames(kernel::loop& loop) : loop(loop) {}

    class port final : public wire::peer_transport {
    public:
        port(fake_frames& owner, helpers::endpoint address)
            : owner(owner), address(std::move(address)) {
            owner.ports[this->address] = this;
        }
        ~port() override { this->owner.ports.erase(this->address); }
        void send(const helpers::endpoint& to, wire::frame_kind,
                  std::span<const std::uint8_t> payload) override {
            this->owner.deliver(this->address, to, {payload.begin(), payload.end()});
        }
        void set_receiver(wire::frame_kind, wire::frame_receiver receiver) override {
            this->handler = std::move(receiver);
        }

    private:
        friend class fake_frames;
        fake_frames& owner;
        helpers::endpoint address;
        wire::frame_receiver handler;
    };

    double loss_rate = 0;

private:
    void deliver(const helpers::endpoint& from, const helpers::endpoint& to,
                 std::vector<std::uint8_t> payload) {
        if (this->random.fraction() < this->loss_rate)
            return;
        this->loop.schedule(std::chrono::milliseconds(1),
                            [this, from, to, payload = std::move(payload)] {
                                const auto found = this->ports.find(to);
                                if (found != this->ports.end() && found->second->handler)
                                    found->second->handler(from, payload);
                            });
    }

    kernel::loop& loop;
    kernel::random_source random{11};
    std::map<helpers::endpoint, port*> ports;
};

// One incarnation of a router's claim manager.
struct claim_router {
    claim_router(kernel::loop& loop, shared_store& shared, fake_frames& frames,
                 fake_directory directory, std::uint64_t incarnation)
        : incarnation(incarnation),
          objects(shared),
          journals(objects),
          port(frames, directory.own.address),
          link(port),
          directory(std::move(directory)) {
        claims::claim_settings settings;
        settings.writer = this->directory.own.name + "-" + std::to_string(incarnation);
        settings.journal.max_recent = 16;
        settings.journal.max_snapshot_records = 256;
        this->manager = std::make_unique<claims::claim_manager>(loop, this->directory, this->link,
                                                                this->journals, settings);
    }

    std::uint64_t incarnation;
    std::uint64_t sequence = 0;
    fake_object_store objects;
    store::journal_store journals;
    fake_frames::port port;
    wire::claims_link link;
    fake_directory directory;
    std::unique_ptr<claims::claim_manager> manager;
};

struct claim_fleet {
    explicit claim_fleet(std::size_t size, std::uint64_t seed = 1)
        : shared(loop, seed), routers(size) {
        // Moves the wall clock far from zero, so that dates of valid keys are positive.
        this->loop.advance(std::chrono::hours(48));
        for (std::size_t i = 0; i < size; ++i)
            this->start(i);
    }

    void start(std::size_t index) {
        const auto identity = [](std::size_t at) {
            return config::peer_router{
                "r" + std::to_string(at), "north", {"10.0.0." + std::to_string(at), 1}};
        };
        fake_directory directory;
        directory.own = identity(index);
        for (std::size_t i = 0; i < this->routers.size(); ++i)
            if (i != index)
                directory.peer_routers.push_back(identity(i));
        this->routers[index].reset();
        this->routers[index] = std::make_unique<claim_router>(
            this->loop, this->shared, this->frames, std::move(directory), ++this->incarnations);
    }

    claims::claim_request request(std::size_t index, const std::string& key,
                                  helpers::duration wait = std::chrono::seconds(5),
                                  std::uint64_t fingerprint = 1) {
        auto& router = *this->routers[index];
        claims::claim_request result;
        result.request = {{index}, {router.incarnation}, ++router.sequence};
        result.organisation = {7};
        result.key = key;
        result.fingerprint = fingerprint;
        result.deadline = this->loop.time().now() + wait;
        return result;
    }

    // Starts the claim and runs the loop until its result.
    claims::claim_result claim(std::size_t index, const claims::claim_request& request) {
        std::optional<claims::claim_result> result;
        this->routers[index]->manager->claim(
            request, [&result](const claims::claim_result& received) { result = received; });
        for (int i = 0; i < 60'000 && !result; ++i)
            this->loop.advance(std::chrono::milliseconds(1));
        return result.value_or(claims::claim_result{});
    }

    claims::claim_verdict verdict(std::size_t index, const std::string& key,
                                  std::uint64_t fingerprint = 1) {
        return this->claim(index, this->request(index, key, std::chrono::seconds(5), fingerprint))
            .verdict;
    }

    kernel::manual_loop loop;
    shared_store shared;
    fake_frames frames{loop};
    std::uint64_t incarnations = 0;
    std::vector<std::unique_ptr<claim_router>> routers;
};

} // namespace samphirespool::tests
