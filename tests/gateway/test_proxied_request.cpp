// Tests of a request in the gateway: retries, rejections, streams, disconnects and time limits.
#include "tests/gateway/gateway_harness.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;
using namespace std::chrono_literals;
using tests::gateway_harness;

namespace {

std::string response_header(const tests::recorded_response& response, std::string_view name) {
    return std::string(http::find_header(response.headers, name).value_or(""));
}

} // namespace

TEST_CASE("gateway: the target's response is forwarded with its status, body and seal") {
    gateway_harness harness;
    auto& caller = harness.send("/book/1?a=b");
    auto& call = harness.last_call();
    CHECK(call.request.path == "/book/1?a=b");
    CHECK(call.request.host == "test");
    call.respond(201, "done");
    harness.process_events();
    CHECK(caller.response.status == 201);
    CHECK(caller.response.body == "done");
    CHECK(response_header(caller.response, "x-seal") == "seal");
    CHECK(caller.is_finished);
}

TEST_CASE(
    "gateway: a target receives the organisation, its own name and the time left, but no API key") {
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

TEST_CASE("gateway: a request that is not idempotent is not retried once it may have run") {
    gateway_harness harness;
    auto& caller = harness.send("/book/1");
    harness.last_call().connect();
    harness.last_call().fail(true);
    harness.process_events();
    CHECK(harness.call_count() == 1);
    CHECK(caller.response.status == 502);
    CHECK(response_header(caller.response, "x-outcome") == "outcome unknown");
}

TEST_CASE("gateway: a connection that fails before a byte is sent does not count as an attempt") {
    gateway_harness harness;
    auto& caller = harness.send("/book/1");
    const auto first = harness.last_call().header("x-expected-target");
    harness.last_call().fail(false);
    harness.process_events();
    REQUIRE(harness.call_count() == 2);
    CHECK(harness.last_call().header("x-expected-target") != first);
    harness.last_call().respond(200, "ok");
    CHECK(caller.response.status == 200);
}

TEST_CASE(
    "gateway: a request that its target did not run is tried at another target, then rejected") {
    gateway_harness harness(2);
    auto& caller = harness.send("/book/1");
    harness.last_call().reject_not_run();
    harness.process_events();
    REQUIRE(harness.call_count() == 2);
    harness.last_call().reject_not_run();
    harness.advance(2s);
    CHECK(caller.response.status == 503);
    CHECK(response_header(caller.response, "x-outcome") == "not run");
    CHECK_FALSE(response_header(caller.response, "retry-after").empty());
}

TEST_CASE(
    "gateway: a rejection after a lost response does not state that the request was not run") {
    gateway_harness harness(2);
    auto& caller = harness.send("/look/1");
    harness.last_call().connect();
    harness.last_call().fail(true);
    harness.process_events();
    REQUIRE(harness.call_count() == 2);
    harness.last_call().reject_not_run();
    harness.advance(2s);
    CHECK(caller.response.status == 502);
    CHECK(response_header(caller.response, "x-outcome") == "outcome unknown");
}

TEST_CASE(
    "gateway: an idempotent request is retried after an error, within the fleet's retry budget") {
    gateway_harness with_budget;
    auto& retried_caller = with_budget.send("/look/1");
    with_budget.last_call().respond(500, "error");
    with_budget.process_events();
    REQUIRE(with_budget.call_count() == 2);
    with_budget.last_call().respond(200, "ok");
    CHECK(retried_caller.response.status == 200);

    gateway_harness without_budget(3, 0);
    auto& caller = without_budget.send("/look/1");
    without_budget.last_call().respond(500, "error");
    without_budget.process_events();
    CHECK(without_budget.call_count() == 1);
    CHECK(caller.response.status == 500);
    CHECK(caller.response.body == "error");
}

TEST_CASE("gateway: an idempotent request is attempted at most as often as its route allows") {
    gateway_harness harness(5);
    auto& caller = harness.send("/look/1");
    for (int i = 0; i < 2; ++i) {
        harness.last_call().respond(500, "error");
        harness.process_events();
    }
    CHECK(harness.call_count() == 2);
    CHECK(caller.response.status == 500);
}

TEST_CASE(
    "gateway: a target whose address now belongs to another target is removed, and the request is "
    "retried") {
    gateway_harness harness;
    harness.send("/book/1");
    const auto first = harness.last_call().header("x-expected-target");
    harness.last_call().connect();
    harness.last_call().listener->on_head(421, {});
    harness.process_events();
    REQUIRE(harness.call_count() == 2);
    CHECK(harness.catalog.targets_of(helpers::id_of<helpers::service_id>("desk")).size() == 2);
    CHECK(harness.last_call().header("x-expected-target") != first);
}

TEST_CASE("gateway: a response to another request, or one without a seal, is not forwarded") {
    for (const bool has_seal : {true, false}) {
        gateway_harness harness;
        auto& caller = harness.send("/book/1");
        harness.last_call().connect();
        http::header_list headers{{"x-request-id", has_seal ? "other" : "id-1"}};
        if (has_seal)
            headers.push_back({"x-seal", "seal"});
        harness.last_call().listener->on_head(200, headers);
        harness.process_events();
        CHECK(caller.response.status == 502);
    }
}

TEST_CASE("gateway: only complete events of a stream are forwarded, and a broken stream breaks the "
          "caller's connection") {
    gateway_harness harness;
    auto& caller = harness.send("/write/1");
    harness.last_call().connect();
    harness.last_call().head(200);
    harness.last_call().body("id: 1\ndata: a\n\nid: 2\nda");
    CHECK(caller.response.body == "id: 1\ndata: a\n\n");
    harness.last_call().fail(true);
    harness.process_events();
    CHECK(harness.call_count() == 1);
    CHECK(caller.response.broken);
}

TEST_CASE("gateway: a stream that ends inside an event counts as broken") {
    gateway_harness harness;
    auto& caller = harness.send("/write/1");
    harness.last_call().connect();
    harness.last_call().head(200);
    harness.last_call().body("id: 1\ndata: a\n\nid: 2\nda");
    harness.last_call().listener->on_done();
    harness.process_events();
    CHECK(caller.response.broken);
}

TEST_CASE("gateway: a resumable stream continues at another target without duplicate events") {
    gateway_harness harness;
    auto& caller = harness.send("/talk/1");
    harness.last_call().connect();
    harness.last_call().head(200);
    harness.last_call().body("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
    harness.last_call().fail(true);
    harness.process_events();
    REQUIRE(harness.call_count() == 2);
    CHECK(harness.last_call().header("last-event-id") == "2");
    harness.last_call().connect();
    harness.last_call().head(200);
    harness.last_call().body("id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    harness.last_call().listener->on_done();
    harness.process_events();
    CHECK(caller.response.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    CHECK(caller.response.complete);
}

TEST_CASE("gateway: only idempotent requests are moved away from a silent target") {
    gateway_harness harness;
    harness.send("/look/1");
    harness.last_call().connect();
    harness.advance(400ms);
    CHECK(harness.call_count() == 2);
    CHECK(harness.targets.calls.front().is_cancelled);

    gateway_harness not_idempotent;
    not_idempotent.send("/book/1");
    not_idempotent.last_call().connect();
    not_idempotent.advance(400ms);
    CHECK(not_idempotent.call_count() == 1);
    CHECK_FALSE(not_idempotent.last_call().is_cancelled);
}

TEST_CASE("gateway: the response of a slow target is forwarded if it arrives before the deadline") {
    gateway_harness harness;
    auto& caller = harness.send("/book/1");
    harness.last_call().connect();
    harness.advance(4s);
    harness.last_call().head(200);
    harness.last_call().body("late");
    harness.last_call().listener->on_done();
    CHECK(caller.response.body == "late");
}

TEST_CASE("gateway: at the deadline the call is cancelled and the caller receives a timeout") {
    gateway_harness harness;
    auto& caller = harness.send("/book/1", {{"x-deadline-ms", "800"}});
    harness.last_call().connect();
    harness.advance(801ms);
    CHECK(harness.last_call().is_cancelled);
    CHECK(caller.response.status == 504);
}

TEST_CASE("gateway: the route's timeout limits a longer deadline of the caller") {
    gateway_harness harness;
    auto& caller = harness.send("/book/1", {{"x-deadline-ms", "60000"}});
    CHECK(harness.last_call().header("x-deadline-ms") == "10000");
    harness.last_call().connect();
    harness.advance(10s + 1ms);
    CHECK(caller.response.status == 504);
}

TEST_CASE("gateway: the call to the target is cancelled when the caller disconnects") {
    gateway_harness harness;
    auto& caller = harness.send("/write/1");
    harness.last_call().connect();
    caller.response.disconnect_handler();
    harness.process_events();
    CHECK(harness.last_call().is_cancelled);
    CHECK(caller.is_finished);
}

TEST_CASE(
    "gateway: unknown API keys, unknown routes and a missing configuration cause a rejection") {
    gateway_harness harness;
    CHECK(harness.send("/book/1", {{"authorization", "Bearer other"}}).response.status == 401);
    CHECK(harness.send("/book/1", {{"authorization", ""}}).response.status == 401);
    CHECK(harness.send("/nothing/1").response.status == 404);
    harness.table = nullptr;
    CHECK(harness.send("/book/1").response.status == 503);
    CHECK(harness.call_count() == 0);
}

TEST_CASE("gateway: without any target a request is rejected at once, with Retry-After") {
    gateway_harness harness(0);
    auto& caller = harness.send("/book/1");
    CHECK(caller.response.status == 503);
    CHECK(response_header(caller.response, "x-outcome") == "not run");
    // At most a third of the time left, so that the caller can still retry.
    const auto seconds = std::stod(response_header(caller.response, "retry-after"));
    CHECK(seconds > 0);
    CHECK(seconds <= 5.0 / 3);
}

TEST_CASE("gateway: a target that starts draining during the connect receives no request") {
    gateway_harness harness;
    harness.send("/book/1");
    auto& call = harness.last_call();
    harness.catalog.remove(call.header("x-expected-target"), harness.loop.time().now());
    auto draining = tests::make_target(call.header("x-expected-target"), "desk");
    draining.is_draining = true;
    harness.catalog.update(draining, harness.loop.time().now());
    harness.catalog.set_drained_data_centres({"east"});
    CHECK_FALSE(call.listener->on_connected());
    harness.process_events();
    CHECK(harness.call_count() == 1);
}

TEST_CASE(
    "gateway: while it shuts down, a gateway closes callers' connections after the response") {
    gateway_harness harness;
    harness.shutdown.begin();
    auto& caller = harness.send("/book/1");
    harness.last_call().respond(200, "ok");
    CHECK(caller.response.closes_connection);
    CHECK(caller.response.status == 200);
}

TEST_CASE(
    "gateway: a 503 without a seal is not forwarded, since it does not show that nothing ran") {
    gateway_harness harness;
    auto& caller = harness.send("/book/1");
    harness.last_call().connect();
    harness.last_call().listener->on_head(503, {{"x-request-id", "id-1"}});
    harness.process_events();
    CHECK(harness.call_count() == 1);
    CHECK(caller.response.status == 502);
}

TEST_CASE("gateway: data that a target sends after the caller disconnected is dropped") {
    gateway_harness harness;
    auto& caller = harness.send("/talk/1");
    harness.last_call().connect();
    harness.last_call().head(200);
    harness.last_call().body("id: 1\ndata: a\n\n");
    caller.response.disconnect_handler();
    // The call is cancelled before the next loop iteration, so that no more data can arrive.
    CHECK(harness.last_call().is_cancelled);
    harness.process_events();
    CHECK(caller.response.body == "id: 1\ndata: a\n\n");
}

TEST_CASE("gateway: a queued request is removed when its caller disconnects") {
    gateway_harness harness(1);
    // Eight slots, and as many requests may queue at a target other than an engine.
    for (int i = 0; i < 16; ++i)
        harness.send("/book/1");
    auto& caller = harness.send("/book/1");
    CHECK(harness.call_count() == 16);
    CHECK(harness.dispatch.queued() == 1);
    caller.response.disconnect_handler();
    CHECK(harness.dispatch.queued() == 0);
}

TEST_CASE("proxied request: an error response counts against a target unless a second target "
          "returns one") {
    const auto failures = [](const gateway_harness& gateway) {
        std::uint32_t sum = 0;
        for (const auto& each : gateway.dispatch.own_counts())
            sum += each.results.failures;
        return sum;
    };
    gateway_harness gateway;
    gateway.send("/look/x");
    gateway.last_call().respond(500, "broken");
    gateway.process_events();
    REQUIRE(gateway.call_count() == 2);
    gateway.last_call().respond(500, "broken");
    gateway.process_events();
    CHECK(failures(gateway) == 0);

    gateway.send("/look/x");
    gateway.last_call().respond(500, "broken");
    gateway.process_events();
    REQUIRE(gateway.call_count() == 4);
    gateway.last_call().respond(200, "fine");
    gateway.process_events();
    CHECK(failures(gateway) == 1);

    // The request cannot be retried at another target.
    gateway.send("/book/x");
    gateway.last_call().respond(500, "broken");
    gateway.process_events();
    CHECK(failures(gateway) == 2);
}

// Guards against logs from which a request whose prompt crashes targets looks like any other
// request that was in progress on a lost target.
TEST_CASE("gateway: a failed attempt is logged with its prompt and the progress of its response") {
    gateway_harness harness;
    const auto progress_after = [&harness](bool has_head, std::string_view events) {
        harness.send("/write/1", {{"x-prompt-parts", "a1:5,b2:7,c3:1"}});
        auto& call = harness.last_call();
        call.connect();
        if (has_head)
            call.head(200);
        if (!events.empty())
            call.body(events);
        call.fail(true);
        harness.process_events();
        const auto* logged = harness.events.last("request.attempt_failed");
        REQUIRE(logged != nullptr);
        CHECK(logged->text("segments") == "a1,b2,c3");
        return logged->text("progress");
    };
    CHECK(progress_after(false, "") == "none");
    CHECK(progress_after(true, "") == "begun");
    CHECK(progress_after(true, "id: 1\n\nid: 2") == "begun");
    CHECK(progress_after(true, "id: 1\n\nid: 2\n\n") == "under_way");
}

// Guards against an event without end that fills the memory.
TEST_CASE("gateway: a stream whose event does not end is broken off") {
    gateway_harness harness;
    auto& caller = harness.send("/write/1");
    auto& call = harness.last_call();
    call.connect();
    call.head(200);
    const std::string data(64 << 10, 'x');
    int parts = 0;
    while (!call.is_cancelled && parts < 1000) {
        call.body(data);
        harness.process_events();
        ++parts;
    }
    CHECK(parts < 100);
    CHECK(caller.response.status == 502);
}

// Guards against a body without a length that ends with its connection.
TEST_CASE("gateway: a response without a length is whole if its connection ends in order") {
    gateway_harness harness;
    auto& caller = harness.send("/book/1");
    auto& call = harness.last_call();
    call.connect();
    call.head(200);
    call.body("all of it");
    call.listener->on_done();
    harness.process_events();
    CHECK(caller.response.status == 200);
    CHECK(caller.response.body == "all of it");
    auto& broken = harness.send("/book/1");
    auto& second = harness.last_call();
    second.connect();
    second.head(200);
    second.body("a par");
    second.fail(true);
    harness.process_events();
    CHECK(broken.response.status == 502);
}

// Guards against ORDER and MIXED: an error of the next target stands in the caller's stream, or the
// stream ends as if it were complete.
TEST_CASE("gateway: a stream that has begun is not continued by what does not follow its events") {
    struct next_response {
        int status;
        http::header_list headers;
        const char* body;
    };
    const http::header_list events{{"content-type", "text/event-stream"}};
    for (const auto& each : std::initializer_list<next_response>{
             {500, {}, "an error\n\n"},
             {404, events, "id: 3\ndata: c\n\n"},
             {204, {}, ""},
             {206, events, "id: 3\ndata: c\n\n"},
             {200, {{"content-type", "text/html"}}, "id: 3\ndata: c\n\n"},
             {200, {}, "id: 3\ndata: c\n\n"},
             {200, events, ""},
             {200, events, "id: 3\ndata: c"},
             {200, events, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"},
             {200, events, "id: 5\ndata: e\n\n"},
             {200, events, "an error\n\n"},
         }) {
        CAPTURE(each.status);
        CAPTURE(each.body);
        gateway_harness harness;
        auto& caller = harness.send("/talk/1");
        harness.last_call().connect();
        harness.last_call().head(200, events);
        harness.last_call().body("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        harness.last_call().fail(true);
        harness.process_events();
        REQUIRE(harness.call_count() == 2);
        auto& next = harness.last_call();
        next.connect();
        next.head(each.status, each.headers);
        if (!next.is_cancelled)
            next.body(each.body);
        if (!next.is_cancelled)
            next.listener->on_done();
        harness.process_events();
        CHECK(caller.response.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        CHECK(caller.response.broken);
        CHECK_FALSE(caller.response.complete);
        CHECK(next.is_connection_discarded);
    }
}

// Guards against LOST: a request is begun that the end of the grace period cuts off.
TEST_CASE("gateway: a shutting-down gateway begins no request that may outlast its grace period") {
    gateway_harness harness;
    harness.shutdown.begin();
    auto& late = harness.send("/book/1", {{"x-deadline-ms", "7501"}});
    CHECK(late.response.status == 503);
    CHECK(response_header(late.response, "x-outcome") == "not run");
    CHECK(response_header(late.response, "retry-after") == "0.020");
    CHECK(late.response.closes_connection);
    CHECK(harness.call_count() == 0);
    auto& timely = harness.send("/book/1", {{"x-deadline-ms", "7000"}});
    harness.last_call().respond(200, "ok");
    CHECK(timely.response.status == 200);
    harness.advance(1s);
    CHECK(harness.send("/book/1", {{"x-deadline-ms", "7000"}}).response.status == 503);
    CHECK(harness.call_count() == 1);
}

// Guards against streams that are refused during a shutdown although they would have ended in time.
TEST_CASE("gateway: a shutting-down gateway begins streams that end in time at the recent pace") {
    gateway_harness harness;
    const auto stream = [&](const std::string& tokens) -> tests::gateway_harness::caller& {
        return harness.send("/talk/1", {{"x-deadline-ms", "10000"}, {"x-tokens", "10," + tokens}});
    };
    stream("100");
    harness.last_call().connect();
    harness.last_call().head(200);
    harness.last_call().body("id: 1\ndata: a\n\n");
    harness.advance(1s);
    harness.last_call().listener->on_done();
    harness.process_events();
    harness.shutdown.begin();
    CHECK(stream("900").response.status == 503);
    CHECK(stream("0").response.status == 503);
    CHECK(harness.call_count() == 1);
    stream("700");
    CHECK(harness.call_count() == 2);
}

// Guards against LOST: a request that has waited in the queue is begun when the time is too short.
TEST_CASE(
    "gateway: a request that was taken before the shutdown is not begun if it may outlast it") {
    gateway_harness harness;
    auto& caller = harness.send("/look/1", {{"x-deadline-ms", "9000"}});
    harness.last_call().connect();
    harness.shutdown.begin();
    harness.last_call().reject_not_run();
    harness.process_events();
    CHECK(harness.call_count() == 1);
    CHECK(caller.response.status == 503);
    CHECK(response_header(caller.response, "x-outcome") == "not run");
}
