// Tests of requests that arrive while a gateway is starting.
#include "gateway/startup_queue.hpp"
#include "tests/gateway/gateway_harness.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;
using namespace std::chrono_literals;

namespace {

struct starting_gateway {
    void send(const std::string& id) {
        this->responses.emplace_back();
        this->queue.submit(
            std::make_unique<tests::fake_exchange>("POST", "/" + id, "", this->responses.back()));
    }

    kernel::manual_loop loop;
    bool is_initialized = false;
    std::list<tests::recorded_response> responses;
    std::vector<std::pair<std::string, helpers::time_point>> forwarded;
    gateway::startup_queue queue{loop, [this] { return this->is_initialized; },
                                 [this](auto request, helpers::time_point arrived) {
                                     this->forwarded.emplace_back(request->request().path, arrived);
                                 }};
};

} // namespace

TEST_CASE(
    "load pattern, restart of all gateways: early requests wait until the gateway is initialized") {
    starting_gateway gateway;
    const auto start = gateway.loop.time().now();
    gateway.send("a");
    gateway.loop.advance(50ms);
    gateway.send("b");
    CHECK(gateway.forwarded.empty());
    gateway.is_initialized = true;
    gateway.loop.advance(20ms);
    REQUIRE(gateway.forwarded.size() == 2);
    // In order, and with their arrival times, from which their deadlines are counted.
    CHECK(gateway.forwarded[0] == std::pair{std::string("/a"), start});
    CHECK(gateway.forwarded[1] == std::pair{std::string("/b"), start + 50ms});
    gateway.send("c");
    CHECK(gateway.forwarded.size() == 3);
}

TEST_CASE("load pattern, restart without the store: early requests are forwarded after the maximum "
          "wait") {
    starting_gateway gateway;
    gateway.send("a");
    gateway.loop.advance(gateway::startup_queue::max_wait + 20ms);
    CHECK(gateway.forwarded.size() == 1);
    // The maximum wait has passed, so later requests are forwarded at once.
    gateway.send("b");
    CHECK(gateway.forwarded.size() == 2);
    CHECK(gateway.queue.queued() == 0);
}

TEST_CASE("startup queue: requests of disconnected callers are dropped") {
    starting_gateway gateway;
    gateway.send("a");
    gateway.send("b");
    gateway.responses.front().disconnect_handler();
    gateway.is_initialized = true;
    gateway.loop.advance(20ms);
    REQUIRE(gateway.forwarded.size() == 1);
    CHECK(gateway.forwarded.front().first == "/b");
}
