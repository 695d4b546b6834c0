// Tests of targets that reject a request and ask to be sent nothing for a time.
#include "tests/gateway/gateway_harness.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;
using namespace std::chrono_literals;
using tests::gateway_harness;

namespace {

// The target of the latest call rejects it and names a time.
std::string reject(gateway_harness& gateway, const std::string& retry_after) {
    auto& call = gateway.last_call();
    auto name = call.header("x-expected-target");
    call.connect();
    call.listener->on_head(503, {{"x-not-run", "1"}, {"retry-after", retry_after}});
    gateway.process_events();
    return name;
}

// Requests that the target gets of as many as are sent in the given time.
int count_requests(gateway_harness& gateway, const std::string& name, helpers::duration time) {
    int result = 0;
    for (auto passed = 0ns; passed < time; passed += 50ms) {
        const auto before = gateway.call_count();
        gateway.send("/look/1");
        if (gateway.call_count() > before) {
            result += gateway.last_call().header("x-expected-target") == name ? 1 : 0;
            gateway.last_call().respond(200, "ok");
        }
        gateway.advance(50ms);
    }
    return result;
}

} // namespace

// Guards against BUDGET: a target that has asked for quiet gets requests.
TEST_CASE("quiet targets: one gets nothing for the time that it names") {
    gateway_harness gateway;
    gateway.send("/look/1");
    const auto name = reject(gateway, "3.5");
    CHECK(count_requests(gateway, name, 3400ms) == 0);
    gateway.advance(100ms);
    CHECK(count_requests(gateway, name, 2s) > 0);
}

// Guards against BUDGET: the time ends when the target's entry lapses and is written again,
// although it is the same process.
TEST_CASE(
    "quiet targets: the time holds while the entry of the target is away and after its return") {
    gateway_harness gateway;
    gateway.send("/look/1");
    const auto name = reject(gateway, "25");
    gateway.last_call().respond(200, "ok");
    const auto registration = gateway.catalog.find(name)->registration;
    gateway.catalog.remove(name, gateway.loop.time().now());
    gateway.advance(1400ms);
    gateway.catalog.update(registration, gateway.loop.time().now());
    CHECK(count_requests(gateway, name, 23s) == 0);
    gateway.advance(600ms);
    CHECK(count_requests(gateway, name, 2s) > 0);
}

// Another start is another process, which has asked for nothing.
TEST_CASE("quiet targets: the time does not hold for a later incarnation of the target") {
    gateway_harness gateway;
    gateway.send("/look/1");
    const auto name = reject(gateway, "25");
    gateway.last_call().respond(200, "ok");
    auto registration = gateway.catalog.find(name)->registration;
    ++registration.started_at;
    gateway.catalog.update(registration, gateway.loop.time().now());
    CHECK(count_requests(gateway, name, 2s) > 0);
}

// Guards against BUDGET: long times are shortened.
TEST_CASE("quiet targets: a time of minutes holds") {
    gateway_harness gateway;
    gateway.send("/look/1");
    const auto name = reject(gateway, "180");
    gateway.last_call().respond(200, "ok");
    gateway.advance(170s);
    CHECK(count_requests(gateway, name, 9s) == 0);
}

// Guards against BUDGET: a request that waits for its connection is sent all the same.
TEST_CASE("quiet targets: a request that is about to be sent goes to another target") {
    gateway_harness gateway(1);
    gateway.send("/look/1");
    auto& first = gateway.last_call();
    gateway.send("/look/2");
    auto& second = gateway.last_call();
    REQUIRE(&first != &second);
    first.connect();
    first.listener->on_head(503, {{"x-not-run", "1"}, {"retry-after", "2"}});
    CHECK_FALSE(second.listener->on_connected());
}

// Guards against callers who wait for nothing: all targets have asked for quiet.
TEST_CASE("quiet targets: if all are, callers are told at once when the first serves again") {
    gateway_harness gateway(1);
    gateway.send("/look/1");
    reject(gateway, "4");
    auto& caller = gateway.send("/look/2");
    CHECK(caller.is_finished);
    CHECK(caller.response.status == 503);
    const auto text = http::find_header(caller.response.headers, "retry-after");
    REQUIRE(text);
    const auto seconds = std::stod(std::string(*text));
    CHECK(seconds >= 3.9);
    CHECK(seconds <= 6);
}

TEST_CASE("quiet targets: unreadable and excessive times are bounded") {
    for (const std::string text : {"-1", "soon", "", "nan", "Fri, 04 Dec 2026 10:00:00 GMT"}) {
        CAPTURE(text);
        gateway_harness gateway;
        gateway.send("/look/1");
        const auto name = reject(gateway, text);
        CHECK(count_requests(gateway, name, 2s) > 0);
        CHECK(gateway.events.last("target.quiet_rejected") != nullptr);
    }
    gateway_harness gateway;
    gateway.send("/look/1");
    const auto name = reject(gateway, "1e9");
    CHECK(count_requests(gateway, name, 20s) == 0);
    gateway.advance(1h);
    CHECK(count_requests(gateway, name, 2s) > 0);
}

// Guards against all that waited being sent in the moment at which the time ends.
TEST_CASE("quiet targets: one returns in steps") {
    gateway_harness gateway(2);
    gateway.send("/look/1");
    const auto name = reject(gateway, "1");
    gateway.advance(1010ms);
    int at_once = 0;
    for (int i = 0; i < 30; ++i) {
        const auto before = gateway.call_count();
        gateway.send("/look/1");
        if (gateway.call_count() > before)
            at_once += gateway.last_call().header("x-expected-target") == name ? 1 : 0;
    }
    CHECK(at_once <= 3);
}
