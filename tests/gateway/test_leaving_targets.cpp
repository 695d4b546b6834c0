// Tests of targets that state in their responses that they are about to stop.
#include "tests/gateway/gateway_harness.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;
using namespace std::chrono_literals;
using tests::gateway_harness;
using tests::make_target;

namespace {

const http::header_list leaving{{"x-target-leaving", "1"}};

std::string target_of(const tests::scripted_call& call) {
    return call.header("x-expected-target");
}

// The target of the latest call responds that it leaves.
std::string announce_leaving(gateway_harness& gateway, int status = 200) {
    gateway.send("/look/1");
    auto name = target_of(gateway.last_call());
    gateway.last_call().connect();
    gateway.last_call().head(status, leaving);
    gateway.last_call().listener->on_done();
    gateway.process_events();
    return name;
}

bool gets_requests(gateway_harness& gateway, const std::string& name) {
    bool result = false;
    for (int i = 0; i < 40; ++i) {
        gateway.send("/look/2");
        result = result || target_of(gateway.last_call()) == name;
        gateway.last_call().respond(200, "ok");
        gateway.process_events();
    }
    return result;
}

} // namespace

// Guards against DRAIN: a target that has said that it leaves gets further requests.
TEST_CASE("leaving targets: one that says so in any response gets nothing more") {
    for (const int status : {200, 404, 500}) {
        CAPTURE(status);
        gateway_harness gateway;
        const auto name = announce_leaving(gateway, status);
        CHECK_FALSE(gets_requests(gateway, name));
    }
}

// Guards against DRAIN: the entry of the target is written again as if nothing had been said.
TEST_CASE("leaving targets: an entry that calls the target ready does not bring it back") {
    gateway_harness gateway;
    const auto name = announce_leaving(gateway);
    gateway.catalog.update(make_target(name, "desk"), gateway.loop.time().now());
    CHECK_FALSE(gets_requests(gateway, name));
    gateway.catalog.remove(name, gateway.loop.time().now());
    gateway.catalog.update(make_target(name, "desk"), gateway.loop.time().now());
    CHECK_FALSE(gets_requests(gateway, name));
    // Another incarnation under its name is another target.
    auto next = make_target(name, "desk");
    next.started_at = 77;
    gateway.catalog.update(next, gateway.loop.time().now());
    CHECK(gets_requests(gateway, name));
}

// Guards against DRAIN: a request that waits for a connection is sent after the announcement.
TEST_CASE("leaving targets: a request that is about to be sent goes to another target") {
    gateway_harness gateway(1);
    gateway.send("/look/1");
    auto& first = gateway.last_call();
    gateway.send("/look/2");
    auto& second = gateway.last_call();
    REQUIRE(&first != &second);
    first.connect();
    first.head(200, leaving);
    first.listener->on_done();
    CHECK_FALSE(second.listener->on_connected());
    gateway.process_events();
    // No other target is left, so the caller is told at once that nothing ran.
    CHECK(gateway.callers.back().is_finished);
    CHECK(gateway.callers.back().response.status == 503);
}
