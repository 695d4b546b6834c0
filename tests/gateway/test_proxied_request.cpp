// What a request may and may not do: repeats, refusals, streams, departures, limits of time.
#include "tests/gateway/gateway_harness.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;
using namespace std::chrono_literals;
using tests::gateway_harness;

namespace {

std::string answer_header(const tests::recorded_response& answer, std::string_view name) {
    return std::string(http::find_header(answer.headers, name).value_or(""));
}

} // namespace

TEST_CASE("gateway: the answer of the target is passed on with its status, body and seal") {
    gateway_harness harness;
    auto& caller = harness.send("/book/1?a=b");
    auto& call = harness.last_call();
    CHECK(call.request.path == "/book/1?a=b");
    CHECK(call.request.host == "test");
    call.answer(201, "done");
    harness.settle();
    CHECK(caller.answer.status == 201);
    CHECK(caller.answer.body == "done");
    CHECK(answer_header(caller.answer, "x-seal") == "seal");
    CHECK(caller.has_ended);
}

TEST_CASE("gateway: a target gets the organisation, its own name and the time left, but no key") {
    gateway_harness harness;
    harness.names.reserved = {"x-hold"};
    harness.send("/book/1", {{"x-organisation", "forged"},
                             {"x-hold", "1"},
                             {"connection", "x-private"},
                             {"x-private", "1"},
                             {"x-thing", "kept"}});
    const auto& call = harness.last_call();
    CHECK(call.header("x-organisation") == "org");
    CHECK(call.header("x-expected-target").starts_with("t"));
    CHECK(call.header("x-deadline-ms") == "5000");
    CHECK(call.header("x-thing") == "kept");
    CHECK(call.header("x-hold").empty());
    CHECK(call.header("x-private").empty());
    CHECK(call.header("authorization").empty());
}

TEST_CASE("gateway: a request that may run once is never sent again after it may have run") {
    gateway_harness harness;
    auto& caller = harness.send("/book/1");
    harness.last_call().connect();
    harness.last_call().fail(true);
    harness.settle();
    CHECK(harness.sent() == 1);
    CHECK(caller.answer.status == 502);
    CHECK(answer_header(caller.answer, "x-outcome") == "outcome unknown");
}

TEST_CASE("gateway: a connection that failed before a byte left is no send") {
    gateway_harness harness;
    auto& caller = harness.send("/book/1");
    const auto first = harness.last_call().header("x-expected-target");
    harness.last_call().fail(false);
    harness.settle();
    REQUIRE(harness.sent() == 2);
    CHECK(harness.last_call().header("x-expected-target") != first);
    harness.last_call().answer(200, "ok");
    CHECK(caller.answer.status == 200);
}

TEST_CASE("gateway: a refusal by the target that says not run is tried elsewhere, then refused") {
    gateway_harness harness(2);
    auto& caller = harness.send("/book/1");
    harness.last_call().refuse();
    harness.settle();
    REQUIRE(harness.sent() == 2);
    harness.last_call().refuse();
    harness.wait(2s);
    CHECK(caller.answer.status == 503);
    CHECK(answer_header(caller.answer, "x-outcome") == "not run");
    CHECK_FALSE(answer_header(caller.answer, "retry-after").empty());
}

TEST_CASE("gateway: a refusal after a lost answer does not claim that the request has not run") {
    gateway_harness harness(2);
    auto& caller = harness.send("/look/1");
    harness.last_call().connect();
    harness.last_call().fail(true);
    harness.settle();
    REQUIRE(harness.sent() == 2);
    harness.last_call().refuse();
    harness.wait(2s);
    CHECK(caller.answer.status == 502);
    CHECK(answer_header(caller.answer, "x-outcome") == "outcome unknown");
}

TEST_CASE("gateway: an idempotent request is repeated after an error, within the shared budget") {
    gateway_harness rich;
    auto& lucky = rich.send("/look/1");
    rich.last_call().answer(500, "error");
    rich.settle();
    REQUIRE(rich.sent() == 2);
    rich.last_call().answer(200, "ok");
    CHECK(lucky.answer.status == 200);

    gateway_harness poor(3, 0);
    auto& caller = poor.send("/look/1");
    poor.last_call().answer(500, "error");
    poor.settle();
    CHECK(poor.sent() == 1);
    CHECK(caller.answer.status == 500);
    CHECK(caller.answer.body == "error");
}

TEST_CASE("gateway: an idempotent request runs at most as often as its route allows") {
    gateway_harness harness(5);
    auto& caller = harness.send("/look/1");
    for (int i = 0; i < 2; ++i) {
        harness.last_call().answer(500, "error");
        harness.settle();
    }
    CHECK(harness.sent() == 2);
    CHECK(caller.answer.status == 500);
}

TEST_CASE("gateway: another target at the address is forgotten, and the request goes elsewhere") {
    gateway_harness harness;
    harness.send("/book/1");
    const auto first = harness.last_call().header("x-expected-target");
    harness.last_call().connect();
    harness.last_call().listener->on_head(421, {});
    harness.settle();
    REQUIRE(harness.sent() == 2);
    CHECK(harness.catalog.targets_of(helpers::id_of<helpers::service_id>("desk")).size() == 2);
    CHECK(harness.last_call().header("x-expected-target") != first);
}

TEST_CASE("gateway: an answer of another request, or one without a seal, reaches no caller") {
    for (const bool has_seal : {true, false}) {
        gateway_harness harness;
        auto& caller = harness.send("/book/1");
        harness.last_call().connect();
        http::header_list headers{{"x-request-id", has_seal ? "other" : "id-1"}};
        if (has_seal)
            headers.push_back({"x-seal", "seal"});
        harness.last_call().listener->on_head(200, headers);
        harness.settle();
        CHECK(caller.answer.status == 502);
    }
}

TEST_CASE("gateway: a stream passes whole events only, and a broken one breaks visibly") {
    gateway_harness harness;
    auto& caller = harness.send("/write/1");
    harness.last_call().connect();
    harness.last_call().head(200);
    harness.last_call().body("id: 1\ndata: a\n\nid: 2\nda");
    CHECK(caller.answer.body == "id: 1\ndata: a\n\n");
    harness.last_call().fail(true);
    harness.settle();
    CHECK(harness.sent() == 1);
    CHECK(caller.answer.broken);
}

TEST_CASE("gateway: a stream that ends within an event is not taken for complete") {
    gateway_harness harness;
    auto& caller = harness.send("/write/1");
    harness.last_call().connect();
    harness.last_call().head(200);
    harness.last_call().body("id: 1\ndata: a\n\nid: 2\nda");
    harness.last_call().listener->on_done();
    harness.settle();
    CHECK(caller.answer.broken);
}

TEST_CASE("gateway: a stream that may be resumed goes on at another target without doubles") {
    gateway_harness harness;
    auto& caller = harness.send("/talk/1");
    harness.last_call().connect();
    harness.last_call().head(200);
    harness.last_call().body("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
    harness.last_call().fail(true);
    harness.settle();
    REQUIRE(harness.sent() == 2);
    CHECK(harness.last_call().header("last-event-id") == "2");
    harness.last_call().connect();
    harness.last_call().head(200);
    harness.last_call().body("id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    harness.last_call().listener->on_done();
    harness.settle();
    CHECK(caller.answer.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    CHECK(caller.answer.complete);
}

TEST_CASE("gateway: a silent target is left by what may be repeated, and by nothing else") {
    gateway_harness harness;
    harness.send("/look/1");
    harness.last_call().connect();
    harness.wait(400ms);
    CHECK(harness.sent() == 2);
    CHECK(harness.targets.calls.front().is_cancelled);

    gateway_harness once;
    once.send("/book/1");
    once.last_call().connect();
    once.wait(400ms);
    CHECK(once.sent() == 1);
    CHECK_FALSE(once.last_call().is_cancelled);
}

TEST_CASE("gateway: the answer of a slow target is delivered, however late") {
    gateway_harness harness;
    auto& caller = harness.send("/book/1");
    harness.last_call().connect();
    harness.wait(4s);
    harness.last_call().head(200);
    harness.last_call().body("late");
    harness.last_call().listener->on_done();
    CHECK(caller.answer.body == "late");
}

TEST_CASE(
    "gateway: at the deadline the call is cancelled and the caller told that it may have run") {
    gateway_harness harness;
    auto& caller = harness.send("/book/1", {{"x-deadline-ms", "800"}});
    harness.last_call().connect();
    harness.wait(801ms);
    CHECK(harness.last_call().is_cancelled);
    CHECK(caller.answer.status == 504);
}

TEST_CASE("gateway: the route's timeout ends a request whose caller would wait longer") {
    gateway_harness harness;
    auto& caller = harness.send("/book/1", {{"x-deadline-ms", "60000"}});
    CHECK(harness.last_call().header("x-deadline-ms") == "10000");
    harness.last_call().connect();
    harness.wait(10s + 1ms);
    CHECK(caller.answer.status == 504);
}

TEST_CASE("gateway: the target's work is cancelled when the caller departs") {
    gateway_harness harness;
    auto& caller = harness.send("/write/1");
    harness.last_call().connect();
    caller.answer.disconnect_handler();
    harness.settle();
    CHECK(harness.last_call().is_cancelled);
    CHECK(caller.has_ended);
}

TEST_CASE(
    "gateway: unknown keys and routes are refused, and a gateway without configuration waits") {
    gateway_harness harness;
    CHECK(harness.send("/book/1", {{"authorization", "Bearer other"}}).answer.status == 401);
    CHECK(harness.send("/book/1", {{"authorization", ""}}).answer.status == 401);
    CHECK(harness.send("/nothing/1").answer.status == 404);
    harness.table = nullptr;
    CHECK(harness.send("/book/1").answer.status == 503);
    CHECK(harness.sent() == 0);
}

TEST_CASE("gateway: with no target at all a request is refused at once, with a time to return") {
    gateway_harness harness(0);
    auto& caller = harness.send("/book/1");
    CHECK(caller.answer.status == 503);
    CHECK(answer_header(caller.answer, "x-outcome") == "not run");
    // At most a third of the time left, so that the caller still comes back.
    const auto seconds = std::stod(answer_header(caller.answer, "retry-after"));
    CHECK(seconds > 0);
    CHECK(seconds <= 5.0 / 3);
}

TEST_CASE("gateway: a target that left while a connection was made gets no request") {
    gateway_harness harness;
    harness.send("/book/1");
    auto& call = harness.last_call();
    harness.catalog.remove(call.header("x-expected-target"), harness.loop.time().now());
    auto draining = tests::make_target(call.header("x-expected-target"), "desk");
    draining.is_draining = true;
    harness.catalog.update(draining, harness.loop.time().now());
    harness.catalog.set_departed({"east"});
    CHECK_FALSE(call.listener->on_connected());
    harness.settle();
    CHECK(harness.sent() == 1);
}

TEST_CASE("gateway: a leaving gateway asks callers to come back on another connection") {
    gateway_harness harness;
    harness.leaving = true;
    auto& caller = harness.send("/book/1");
    harness.last_call().answer(200, "ok");
    CHECK(caller.answer.closes_connection);
    CHECK(caller.answer.status == 200);
}

TEST_CASE("gateway: a refusal that is not the target's own word is no promise to the caller") {
    gateway_harness harness;
    auto& caller = harness.send("/book/1");
    harness.last_call().connect();
    harness.last_call().listener->on_head(503, {{"x-request-id", "id-1"}});
    harness.settle();
    CHECK(harness.sent() == 1);
    CHECK(caller.answer.status == 502);
}

TEST_CASE("gateway: what comes of a target after its caller has left is dropped") {
    gateway_harness harness;
    auto& caller = harness.send("/talk/1");
    harness.last_call().connect();
    harness.last_call().head(200);
    harness.last_call().body("id: 1\ndata: a\n\n");
    caller.answer.disconnect_handler();
    // Before the loop has come round the call is cancelled, so the target cannot bring more.
    CHECK(harness.last_call().is_cancelled);
    harness.settle();
    CHECK(caller.answer.body == "id: 1\ndata: a\n\n");
}

TEST_CASE("gateway: a waiting request whose caller leaves gives its place up") {
    gateway_harness harness(1);
    // Eight slots, and as many may wait at a plain target.
    for (int i = 0; i < 16; ++i)
        harness.send("/book/1");
    auto& caller = harness.send("/book/1");
    CHECK(harness.sent() == 16);
    CHECK(harness.dispatch.waiting() == 1);
    caller.answer.disconnect_handler();
    CHECK(harness.dispatch.waiting() == 0);
}

TEST_CASE(
    "proxied request: an error that two targets give is the request's own, one alone counts") {
    const auto failures = [](const gateway_harness& gateway) {
        std::uint32_t sum = 0;
        for (const auto& each : gateway.dispatch.own_counts())
            sum += each.results.failures;
        return sum;
    };
    gateway_harness gateway;
    gateway.send("/look/x");
    gateway.last_call().answer(500, "broken");
    gateway.settle();
    REQUIRE(gateway.sent() == 2);
    gateway.last_call().answer(500, "broken");
    gateway.settle();
    CHECK(failures(gateway) == 0);

    gateway.send("/look/x");
    gateway.last_call().answer(500, "broken");
    gateway.settle();
    REQUIRE(gateway.sent() == 4);
    gateway.last_call().answer(200, "fine");
    gateway.settle();
    CHECK(failures(gateway) == 1);

    // It cannot be sent to another target.
    gateway.send("/book/x");
    gateway.last_call().answer(500, "broken");
    gateway.settle();
    CHECK(failures(gateway) == 2);
}
