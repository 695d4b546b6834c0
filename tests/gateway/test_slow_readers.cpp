// Tests of requests under memory pressure: callers that do not read, and new requests meanwhile.
#include "tests/gateway/gateway_harness.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t megabyte = std::size_t{1} << 20;
constexpr std::string_view event = "id: 1\ndata: x\n\n";

} // namespace

// Guards against a response that grows without bound in the gateway while its caller does not read.
TEST_CASE("slow readers: reading from the target pauses above the buffer limit of the moment") {
    tests::gateway_harness harness;
    harness.memory = admission::memory_budget(80 * megabyte);
    auto& caller = harness.send("/talk/a");
    auto& call = harness.last_call();
    call.connect();
    call.head(200);
    caller.response.unread = 64 << 10;
    call.body(event);
    CHECK_FALSE(call.is_paused);
    harness.memory.set_used(79 * megabyte);
    call.body("id: 2\ndata: x\n\n");
    CHECK(call.is_paused);
    caller.response.unread = 0;
    caller.response.drained_handler();
    CHECK_FALSE(call.is_paused);
}

// Guards against requests that are accepted and then end with the process, and against rejections
// that are not true: nothing was sent to a target.
TEST_CASE("slow readers: without memory a new request is rejected at once and has not run") {
    tests::gateway_harness harness;
    harness.memory = admission::memory_budget(80 * megabyte);
    harness.memory.set_used(79 * megabyte);
    auto& caller = harness.send("/book/a");
    CHECK(caller.response.status == 503);
    CHECK(http::find_header(caller.response.headers, "retry-after"));
    CHECK(harness.call_count() == 0);
    CHECK(harness.counters.memory_rejections == 1);
    harness.memory.set_used(10 * megabyte);
    harness.send("/book/b");
    CHECK(harness.call_count() == 1);
}

// Guards against a response that is buffered as a whole and counted only once it is complete.
TEST_CASE("slow readers: a buffered response counts as it arrives, and no more after a failure") {
    tests::gateway_harness harness;
    auto& caller = harness.send("/look/a");
    auto& call = harness.last_call();
    call.connect();
    call.head(200);
    call.body(std::string(100'000, 'x'));
    CHECK(caller.response.held >= 100'000);
    call.fail(true);
    harness.process_events();
    CHECK(caller.response.held == 0);
}

// Guards against a request that goes on after the server has taken back its memory.
TEST_CASE("slow readers: an evicted request ends its call and responds that it may have run") {
    tests::gateway_harness harness;
    auto& caller = harness.send("/look/a");
    harness.last_call().connect();
    harness.last_call().head(200);
    harness.last_call().body("begun");
    caller.response.eviction_handler();
    harness.process_events();
    CHECK(caller.response.status == 502);
    CHECK(harness.counters.memory_aborts == 1);
    CHECK(harness.counters.failed == 1);
}
