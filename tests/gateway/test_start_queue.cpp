// Requests that reach a gateway that has just started.
#include "gateway/start_queue.hpp"
#include "tests/gateway/gateway_harness.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;
using namespace std::chrono_literals;

namespace {

struct starting_gateway {
    void send(const std::string& id) {
        this->answers.emplace_back();
        this->queue.take(
            std::make_unique<tests::fake_exchange>("POST", "/" + id, "", this->answers.back()));
    }

    kernel::manual_loop loop;
    bool is_complete = false;
    std::list<tests::recorded_response> answers;
    std::vector<std::pair<std::string, helpers::time_point>> passed;
    gateway::start_queue queue{loop, [this] { return this->is_complete; },
                               [this](auto request, helpers::time_point arrived) {
                                   this->passed.emplace_back(request->request().path, arrived);
                               }};
};

} // namespace

TEST_CASE("load pattern, restart of all gateways: early requests wait until enough is known") {
    starting_gateway gateway;
    const auto start = gateway.loop.time().now();
    gateway.send("a");
    gateway.loop.advance(50ms);
    gateway.send("b");
    CHECK(gateway.passed.empty());
    gateway.is_complete = true;
    gateway.loop.advance(20ms);
    REQUIRE(gateway.passed.size() == 2);
    // In order, and with the time at which they came: their deadlines run since then.
    CHECK(gateway.passed[0] == std::pair{std::string("/a"), start});
    CHECK(gateway.passed[1] == std::pair{std::string("/b"), start + 50ms});
    gateway.send("c");
    CHECK(gateway.passed.size() == 3);
}

TEST_CASE(
    "load pattern, restart while the store is away: early requests are passed on to refusal") {
    starting_gateway gateway;
    gateway.send("a");
    gateway.loop.advance(gateway::start_queue::patience + 20ms);
    CHECK(gateway.passed.size() == 1);
    // Known to be of no use by now.
    gateway.send("b");
    CHECK(gateway.passed.size() == 2);
    CHECK(gateway.queue.waiting() == 0);
}

TEST_CASE("start queue: callers that departed are forgotten") {
    starting_gateway gateway;
    gateway.send("a");
    gateway.send("b");
    gateway.answers.front().disconnect_handler();
    gateway.is_complete = true;
    gateway.loop.advance(20ms);
    REQUIRE(gateway.passed.size() == 1);
    CHECK(gateway.passed.front().first == "/b");
}
