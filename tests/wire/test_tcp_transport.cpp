// Tests of the TCP transport over loopback: two transports on one event loop.
#include "wire/socket_options.hpp"
#include "wire/tcp_transport.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <unistd.h>

using namespace samphirespool;
using namespace std::chrono_literals;

namespace {

constexpr auto test_timeout = 20s;

struct transport_fixture {
    // Polls the steps in order, each until it returns true. Returns false if test_timeout passes
    // first. Can be called once only, because a stopped loop does not run again.
    bool run_steps(std::vector<std::function<bool()>> steps) {
        std::size_t next = 0;
        const auto deadline = this->loop.time().now() + test_timeout;
        std::function<void()> poll = [&] {
            if (steps[next]())
                ++next;
            if (next == steps.size() || this->loop.time().now() > deadline)
                this->loop.stop();
            else
                this->loop.schedule(1ms, poll);
        };
        poll();
        this->loop.run();
        return next == steps.size();
    }

    bool run_until(std::function<bool()> condition) {
        return this->run_steps({std::move(condition)});
    }

    std::unique_ptr<wire::tcp_transport> make(const std::string& key, std::uint16_t port = 0) {
        const std::vector<std::string> keys{key};
        auto transport = std::make_unique<wire::tcp_transport>(
            this->loop, this->clock, this->random,
            wire::tcp_transport_settings{
                {"127.0.0.1", port}, helpers::incarnation{1}, *wire::parse_fleet_keys(keys)});
        CHECK_FALSE(transport->start());
        return transport;
    }

    http::event_loop loop;
    kernel::hybrid_clock clock{loop.time()};
    kernel::random_source random{1};
};

const std::string fleet_key = "000102030405060708090a0b0c0d0e0f";
const std::string foreign_key = "ff0102030405060708090a0b0c0d0e0f";

} // namespace

TEST_CASE("payloads are received in order, with the address that the sender announced") {
    transport_fixture setup;
    auto a = setup.make(fleet_key);
    auto b = setup.make(fleet_key);
    std::vector<std::uint8_t> received;
    helpers::endpoint sender;
    b->set_receiver(wire::frame_kind::limits, [&](const helpers::endpoint& from, auto payload) {
        sender = from;
        received.push_back(payload.front());
    });
    for (std::uint8_t i = 0; i < 100; ++i)
        a->send(b->self(), wire::frame_kind::limits, std::vector<std::uint8_t>{i});
    CHECK(setup.run_until([&] { return received.size() == 100; }));
    CHECK(std::is_sorted(received.begin(), received.end()));
    CHECK(sender == a->self());
    const auto kind = static_cast<std::size_t>(wire::frame_kind::limits);
    CHECK(a->counters().sent[kind].frames == 100);
    CHECK(a->counters().sent[kind].bytes == b->counters().received[kind].bytes);
    CHECK(a->counters().connects == 1);
}

TEST_CASE("a payload of the maximum size is delivered and a larger one is dropped") {
    transport_fixture setup;
    auto a = setup.make(fleet_key);
    auto b = setup.make(fleet_key);
    std::size_t received = 0;
    b->set_receiver(wire::frame_kind::limits,
                    [&](const auto&, auto payload) { received = payload.size(); });
    const auto largest = wire::max_frame_bytes - wire::header_bytes;
    a->send(b->self(), wire::frame_kind::limits, wire::bytes(largest + 1));
    a->send(b->self(), wire::frame_kind::limits, wire::bytes(largest));
    CHECK(setup.run_until([&] { return received > 0; }));
    CHECK(received == largest);
    CHECK(a->counters().dropped == 1);
}

TEST_CASE("frames signed with another fleet key are rejected and counted") {
    transport_fixture setup;
    auto a = setup.make(foreign_key);
    auto b = setup.make(fleet_key);
    int received = 0;
    b->set_receiver(wire::frame_kind::limits, [&](const auto&, auto) { ++received; });
    a->send(b->self(), wire::frame_kind::limits, wire::bytes{1});
    CHECK(setup.run_until([&] { return b->counters().fault(wire::frame_fault::wrong_key) >= 2; }));
    CHECK(received == 0);
}

TEST_CASE("a peer that was stopped and restarted is reached again") {
    transport_fixture setup;
    auto a = setup.make(fleet_key);
    auto b = setup.make(fleet_key);
    const auto address = b->self();
    int received = 0;
    const auto count = [&](const auto&, auto) { ++received; };
    b->set_receiver(wire::frame_kind::limits, count);
    int refusals = 0;
    a->on_refused([&](const auto& refused) { refusals += refused == address ? 1 : 0; });
    const auto send = [&] { a->send(address, wire::frame_kind::limits, wire::bytes{1}); };
    send();
    CHECK(setup.run_steps({
        [&] { return received == 1; },
        [&] {
            b.reset();
            return true;
        },
        // The stopped peer is noticed without sending.
        [&] { return refusals > 0; },
        // Payloads sent while nothing listens are dropped; they do not stay in the queue.
        [&] {
            send();
            return a->counters().dropped > 3;
        },
        [&] {
            b = setup.make(fleet_key, address.port);
            b->set_receiver(wire::frame_kind::limits, count);
            return true;
        },
        [&] {
            send();
            return received >= 2;
        },
    }));
    CHECK(a->counters().connects == 2);
}

TEST_CASE("garbage on a raw connection is counted and ends the connection") {
    transport_fixture setup;
    auto b = setup.make(fleet_key);
    auto address = wire::make_socket_address(b->self()).value();
    const int raw = ::socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(::connect(raw, address.as_sockaddr(), address.length) == 0);
    const std::string garbage = "GET / HTTP/1.1\r\n\r\n";
    REQUIRE(::write(raw, garbage.data(), garbage.size()) == static_cast<long>(garbage.size()));
    CHECK(setup.run_until([&] { return b->counters().fault(wire::frame_fault::oversized) == 1; }));
    ::close(raw);
}

TEST_CASE(
    "payloads are aligned for 64-bit numbers, whatever the length of the payloads before them") {
    transport_fixture setup;
    auto a = setup.make(fleet_key);
    auto b = setup.make(fleet_key);
    std::size_t received = 0;
    std::size_t misaligned = 0;
    b->set_receiver(wire::frame_kind::limits, [&](const helpers::endpoint&, auto payload) {
        ++received;
        misaligned += reinterpret_cast<std::uintptr_t>(payload.data()) % alignof(std::uint64_t);
    });
    for (std::size_t size = 1; size <= 40; ++size)
        a->send(b->self(), wire::frame_kind::limits, std::vector<std::uint8_t>(size, 7));
    CHECK(setup.run_until([&] { return received == 40; }));
    CHECK(misaligned == 0);
}
