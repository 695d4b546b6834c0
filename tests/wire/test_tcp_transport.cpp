// Tests of the transport over loopback: two routers on one loop.
#include "wire/socket_options.hpp"
#include "wire/tcp_transport.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <unistd.h>

using namespace samphirespool;
using namespace std::chrono_literals;

namespace {

constexpr auto give_up_after = 20s;

struct bench_loop {
    // Runs the loop, once in its life, until each step in turn has returned true. Returns false
    // after a long time without that.
    bool run_steps(std::vector<std::function<bool()>> steps) {
        std::size_t next = 0;
        const auto deadline = this->loop.time().now() + give_up_after;
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
        auto made = std::make_unique<wire::tcp_transport>(
            this->loop, this->clock, this->random,
            wire::tcp_transport_settings{
                {"127.0.0.1", port}, helpers::incarnation{1}, *wire::parse_fleet_keys(keys)});
        CHECK_FALSE(made->start());
        return made;
    }

    http::event_loop loop;
    kernel::hybrid_clock clock{loop.time()};
    kernel::random_source random{1};
};

const std::string fleet_key = "000102030405060708090a0b0c0d0e0f";
const std::string foreign_key = "ff0102030405060708090a0b0c0d0e0f";

} // namespace

TEST_CASE("payloads arrive in order with the sender's announced address") {
    bench_loop setup;
    auto a = setup.make(fleet_key);
    auto b = setup.make(fleet_key);
    std::vector<std::uint8_t> seen;
    helpers::endpoint sender;
    b->set_receiver(wire::frame_kind::limits, [&](const helpers::endpoint& from, auto payload) {
        sender = from;
        seen.push_back(payload.front());
    });
    for (std::uint8_t i = 0; i < 100; ++i)
        a->send(b->self(), wire::frame_kind::limits, std::vector<std::uint8_t>{i});
    CHECK(setup.run_until([&] { return seen.size() == 100; }));
    CHECK(std::is_sorted(seen.begin(), seen.end()));
    CHECK(sender == a->self());
    const auto kind = static_cast<std::size_t>(wire::frame_kind::limits);
    CHECK(a->counters().sent[kind].frames == 100);
    CHECK(a->counters().sent[kind].bytes == b->counters().received[kind].bytes);
    CHECK(a->counters().connects == 1);
}

TEST_CASE("a large payload crosses and one above the limit is dropped") {
    bench_loop setup;
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

TEST_CASE("a router with another fleet key is not heard, and counted") {
    bench_loop setup;
    auto a = setup.make(foreign_key);
    auto b = setup.make(fleet_key);
    int received = 0;
    b->set_receiver(wire::frame_kind::limits, [&](const auto&, auto) { ++received; });
    a->send(b->self(), wire::frame_kind::limits, wire::bytes{1});
    CHECK(setup.run_until([&] { return b->counters().fault(wire::frame_fault::wrong_key) >= 2; }));
    CHECK(received == 0);
}

TEST_CASE("a peer that went away and came back is reached again") {
    bench_loop setup;
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
        // The end of the process is noticed without sending.
        [&] { return refusals > 0; },
        // Sending goes on while nobody listens; the payloads are dropped, not queued for ever.
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

TEST_CASE("garbage on a raw connection is counted and the connection ends") {
    bench_loop setup;
    auto b = setup.make(fleet_key);
    auto address = wire::make_socket_address(b->self()).value();
    const int raw = ::socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(::connect(raw, address.generic(), address.length) == 0);
    const std::string garbage = "GET / HTTP/1.1\r\n\r\n";
    REQUIRE(::write(raw, garbage.data(), garbage.size()) == static_cast<long>(garbage.size()));
    CHECK(setup.run_until([&] { return b->counters().fault(wire::frame_fault::oversized) == 1; }));
    ::close(raw);
}

TEST_CASE("payloads of any length before them are aligned for numbers that are read in place") {
    bench_loop setup;
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
