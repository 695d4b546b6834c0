// Tests of streams that go on at another target while targets of several software versions serve.
#include "tests/gateway/gateway_harness.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace samphirespool;
using namespace std::chrono_literals;
using tests::gateway_harness;

namespace {

constexpr std::string_view three_events = "id: 1\n\nid: 2\n\nid: 3\n\n";

void add_target(gateway_harness& harness, const std::string& name, const std::string& software) {
    auto added = tests::make_target(name, "desk");
    added.software = software;
    harness.catalog.update(std::move(added), harness.loop.time().now());
}

std::string software_of(const gateway_harness& harness, const tests::scripted_call& call) {
    const auto name = call.header("x-expected-target");
    for (const auto& each : harness.catalog.all_targets())
        if (each->registration.name == name)
            return each->registration.software;
    return {};
}

// Begins a stream whose target sends three events, and returns that target's call.
tests::scripted_call& begin_stream(gateway_harness& harness) {
    harness.send("/talk/1");
    auto& call = harness.last_call();
    call.connect();
    call.head(200);
    call.body(three_events);
    return call;
}

http::header_list take_up(const std::string& attempt) {
    return {{"last-event-id", "3"}, {"x-resumes", attempt}};
}

} // namespace

// Guards against a gateway that resumes a stream within its response at another software version.
TEST_CASE("stream versions: a broken stream goes on at the version that began it") {
    for (int i = 0; i < 20; ++i) {
        gateway_harness harness(0);
        for (const auto* name : {"a1", "a2"})
            add_target(harness, name + std::to_string(i), "v1");
        for (const auto* name : {"b1", "b2", "b3", "b4"})
            add_target(harness, name + std::to_string(i), "v2");
        auto& first = begin_stream(harness);
        const auto began_at = software_of(harness, first);
        first.fail(true);
        harness.process_events();
        REQUIRE(harness.call_count() == 2);
        CHECK(software_of(harness, harness.last_call()) == began_at);
    }
}

// Guards against a stream that goes on at another version because its own has no target left.
TEST_CASE("stream versions: a broken stream ends if no target of its version is left") {
    gateway_harness harness(0);
    add_target(harness, "a1", "v1");
    auto& first = begin_stream(harness);
    add_target(harness, "b1", "v2");
    first.fail(true);
    harness.advance(1s);
    CHECK(harness.call_count() == 1);
    CHECK(harness.callers.front().is_finished);
    CHECK(harness.callers.front().response.broken);
}

// Guards against a caller's further attempt that is sent to any version.
TEST_CASE(
    "stream versions: a stream that its caller takes up goes on at the version that began it") {
    for (int i = 0; i < 20; ++i) {
        gateway_harness harness(0);
        add_target(harness, "a" + std::to_string(i), "v1");
        for (const auto* name : {"b1", "b2", "b3"})
            add_target(harness, name + std::to_string(i), "v2");
        // Other requests before, so that the choices of target differ.
        for (int other = 0; other < i; ++other) {
            harness.send("/look/1");
            harness.last_call().respond(200, "ok");
        }
        auto& first = begin_stream(harness);
        const auto began_at = software_of(harness, first);
        harness.callers.back().response.disconnect_handler();
        harness.process_events();
        const auto calls = harness.call_count();
        harness.send("/talk/1", take_up("id-" + std::to_string(i + 1)));
        REQUIRE(harness.call_count() == calls + 1);
        CHECK(software_of(harness, harness.last_call()) == began_at);
    }
}

// Guards against guessing the version of a stream that this gateway knows nothing of.
TEST_CASE("stream versions: a stream of unknown version is not taken up while versions differ") {
    gateway_harness harness(0);
    harness.catalog.replace({}, harness.loop.time().now());
    add_target(harness, "a1", "v1");
    add_target(harness, "b1", "v2");
    harness.advance(60s);
    auto& caller = harness.send("/talk/1", take_up("elsewhere"));
    harness.advance(1s);
    CHECK(harness.call_count() == 0);
    CHECK(caller.response.status == 503);
    CHECK(http::find_header(caller.response.headers, "x-outcome") == "not run");
    CHECK(http::find_header(caller.response.headers, "retry-after").has_value());
}

// Guards against refusing streams where only one version has served for as long as a stream lasts.
TEST_CASE("stream versions: a stream of unknown version is taken up if there is only one") {
    gateway_harness harness(0);
    harness.catalog.replace({}, harness.loop.time().now());
    add_target(harness, "a1", "v1");
    add_target(harness, "a2", "v1");
    harness.advance(60s);
    harness.send("/talk/1", take_up("elsewhere"));
    harness.advance(500ms);
    REQUIRE(harness.call_count() == 1);
    CHECK(harness.last_call().header("last-event-id") == "3");
}

// Guards against taking the only version that is left for the one that began a stream.
TEST_CASE("stream versions: a version that has just been replaced still counts") {
    gateway_harness harness(0);
    harness.catalog.replace({}, harness.loop.time().now());
    add_target(harness, "a1", "v1");
    harness.advance(60s);
    add_target(harness, "b1", "v2");
    harness.catalog.remove("a1", harness.loop.time().now());
    harness.advance(5s);
    auto& early = harness.send("/talk/1", take_up("elsewhere"));
    harness.advance(2s);
    CHECK(early.response.status == 503);
    harness.advance(30s);
    harness.send("/talk/1", take_up("elsewhere"));
    harness.advance(50ms);
    CHECK(harness.call_count() == 1);
}

// Guards against a gateway that has just started, or has missed changes of its targets, and takes
// what it sees for all that there was.
TEST_CASE("stream versions: a gateway that has not followed the targets for long guesses nothing") {
    gateway_harness harness(0);
    harness.catalog.replace({}, harness.loop.time().now());
    add_target(harness, "a1", "v1");
    harness.advance(5s);
    auto& early = harness.send("/talk/1", take_up("elsewhere"));
    harness.advance(2s);
    CHECK(early.response.status == 503);
    harness.advance(60s);
    harness.catalog.on_registry_lost();
    harness.advance(1s);
    harness.catalog.on_registry_regained(harness.loop.time().now());
    harness.advance(5s);
    auto& late = harness.send("/talk/1", take_up("elsewhere"));
    harness.advance(2s);
    CHECK(late.response.status == 503);
    CHECK(harness.call_count() == 0);
}

// Guards against a gateway that has just started and takes the only version that it sees for the
// one that began a stream, and against refusing such streams although the hub knows better.
TEST_CASE("stream versions: without an attempt, a gateway that has just started asks its hub") {
    gateway_harness harness(0);
    harness.catalog.replace({}, harness.loop.time().now());
    add_target(harness, "a1", "v1");
    const auto take_up_unnamed = [&harness]() -> auto& {
        return harness.send("/talk/1", {{"last-event-id", "3"}});
    };
    const auto answer = [&harness](std::uint32_t software) {
        const auto now = harness.loop.time().now();
        const auto wanted = harness.origins.wanted(now);
        REQUIRE(wanted.size() == 1);
        CHECK(harness.origins.wanted_services(now).front() == helpers::hash_name("desk"));
        harness.origins.merge({{wanted.front(), software}}, false, now);
        harness.advance(40ms);
    };
    take_up_unnamed();
    CHECK(harness.call_count() == 0);
    answer(discovery::software_hash("v1"));
    CHECK(harness.call_count() == 1);
    // The answer to an earlier request does not apply to a stream that began after it.
    auto& refused = take_up_unnamed();
    CHECK(harness.call_count() == 1);
    answer(0);
    answer(0);
    CHECK(refused.response.status == 503);
    CHECK(http::find_header(refused.response.headers, "x-outcome") == "not run");
    CHECK(harness.call_count() == 1);
}

// Guards against refusing the streams of callers that name no attempt where a gateway knows that
// only one version has served, and against waiting where several have.
TEST_CASE("stream versions: without an attempt, the versions that the gateway has seen decide") {
    gateway_harness harness(0);
    harness.catalog.replace({}, harness.loop.time().now());
    add_target(harness, "a1", "v1");
    harness.advance(60s);
    harness.send("/talk/1", {{"last-event-id", "3"}});
    harness.advance(50ms);
    CHECK(harness.call_count() == 1);
    add_target(harness, "b1", "v2");
    auto& mixed = harness.send("/talk/1", {{"last-event-id", "3"}});
    CHECK(mixed.response.status == 503);
    CHECK(harness.call_count() == 1);
}

// Guards against waiting for a target of a version that no longer serves.
TEST_CASE("stream versions: a taken-up stream without a target of its version is refused at once") {
    gateway_harness harness(0);
    add_target(harness, "a1", "v1");
    begin_stream(harness);
    harness.callers.back().response.disconnect_handler();
    add_target(harness, "b1", "v2");
    harness.catalog.remove("a1", harness.loop.time().now());
    auto& caller = harness.send("/talk/1", take_up("id-1"));
    CHECK(caller.response.status == 503);
    CHECK(harness.call_count() == 1);
}

// Guards against a lookup that nobody answers: the gateway's hub knows where the stream began.
TEST_CASE("stream versions: a stream is taken up as soon as the hub has told its version") {
    gateway_harness harness(0);
    add_target(harness, "a1", "v1");
    add_target(harness, "b1", "v2");
    auto& caller = harness.send("/talk/1", take_up("elsewhere"));
    const auto wanted = harness.origins.wanted(harness.loop.time().now());
    REQUIRE(wanted.size() == 1);
    harness.origins.merge({{wanted.front(), discovery::software_hash("v2")}}, false,
                          harness.loop.time().now());
    harness.advance(40ms);
    REQUIRE(harness.call_count() == 1);
    CHECK(software_of(harness, harness.last_call()) == "v2");
    CHECK_FALSE(caller.response.status.has_value());
}

// Guards against holding a caller when the hub has answered that it does not know the stream.
TEST_CASE("stream versions: a stream that the hub does not know either is refused soon") {
    gateway_harness harness(0);
    add_target(harness, "a1", "v1");
    add_target(harness, "b1", "v2");
    auto& caller = harness.send("/talk/1", take_up("elsewhere"));
    for (int i = 0; i < 2; ++i) {
        harness.origins.merge({{harness.origins.wanted(harness.loop.time().now()).front(), 0}},
                              false, harness.loop.time().now());
        harness.advance(40ms);
    }
    CHECK(caller.response.status == 503);
    CHECK(harness.call_count() == 0);
}

// Guards against callers that come back for seconds for a stream that can never go on.
TEST_CASE("stream versions: a caller whose stream's origin is lost is not asked to wait") {
    gateway_harness harness(0);
    harness.catalog.replace({}, harness.loop.time().now());
    add_target(harness, "a1", "v1");
    add_target(harness, "b1", "v2");
    auto& refused = harness.send("/talk/1", {{"last-event-id", "3"}, {"x-resumes", "lost"}});
    harness.origins.on_round_without_hub(harness.loop.time().now());
    harness.origins.on_round_without_hub(harness.loop.time().now());
    harness.advance(40ms);
    CHECK(refused.response.status == 503);
    CHECK(std::stod(std::string(
              http::find_header(refused.response.headers, "retry-after").value_or("9"))) < 0.1);
    // A hub that cannot be asked may know more later.
    auto& unanswered = harness.send("/talk/1", {{"last-event-id", "3"}, {"x-resumes", "pending"}});
    harness.advance(950ms);
    CHECK(unanswered.response.status == 503);
    CHECK(std::stod(std::string(
              http::find_header(unanswered.response.headers, "retry-after").value_or("0"))) > 0.2);
}
