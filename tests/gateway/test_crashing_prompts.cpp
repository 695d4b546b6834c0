// Tests of requests whose prompts crash the targets that process them.
#include "tests/gateway/gateway_harness.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace samphirespool;
using namespace std::chrono_literals;
using tests::gateway_harness;

namespace {

constexpr int target_count = 6;
// From the head of a response to the crash of its target.
constexpr helpers::duration crash_delay = 60ms;

// Targets that crash as soon as they begin to respond to a prompt with the segment bad_segment. A
// crashed target is replaced by a new incarnation, and loses all requests in progress.
class crashing_targets {
public:
    explicit crashing_targets(gateway_harness& harness) : harness(harness) {}

    // Sends a request with the given shared segments and lets the targets process it, and its
    // retries.
    gateway_harness::caller& send(const std::string& shared_segments) {
        const auto own = this->own_segment();
        auto& caller =
            this->harness.send("/talk/" + own, {{"x-prompt-parts", shared_segments + "," + own}});
        while (this->processed < this->harness.call_count()) {
            this->process(*std::next(this->harness.targets.calls.begin(),
                                     static_cast<std::ptrdiff_t>(this->processed++)));
            this->harness.process_events();
        }
        return caller;
    }

    static constexpr std::string_view bad_segment = "bad:50";

    int crashes = 0;

private:
    std::string own_segment() { return std::to_string(1000 + ++this->sequence) + ":10"; }

    void process(tests::scripted_call& call) {
        if (call.is_cancelled)
            return;
        call.connect();
        if (call.is_cancelled)
            return;
        call.head(200);
        if (call.header("x-prompt-parts").find(bad_segment) == std::string::npos) {
            call.body("id: 1\n\nid: 2\n\nid: 3\n\n");
            call.listener->on_done();
            return;
        }
        const auto name = call.header("x-expected-target");
        this->harness.loop.advance(crash_delay);
        call.fail(true);
        this->replace(name);
        ++this->crashes;
    }

    void replace(const std::string& name) {
        const auto now = this->harness.loop.time().now();
        this->harness.catalog.remove(name, now);
        this->harness.catalog.update(
            tests::make_target("r" + std::to_string(++this->sequence), "desk"), now);
    }

    gateway_harness& harness;
    std::size_t processed = 0;
    int sequence = 0;
};

} // namespace

// Guards against a prompt segment that crashes one target after the other: nothing connected the
// loss of a target with the requests that had just begun there (inc1).
TEST_CASE(
    "crashing prompts: a segment that has crashed several targets reaches at most three more") {
    gateway_harness harness(target_count);
    crashing_targets targets(harness);
    const auto bad = "a1:100," + std::string(crashing_targets::bad_segment);
    for (int i = 0; i < 10 && targets.crashes < 5; ++i) {
        targets.send(bad);
        harness.advance(300ms);
    }
    harness.advance(3s);
    const auto crashes_before = targets.crashes;
    for (int i = 0; i < 60; ++i) {
        targets.send(bad);
        harness.advance(500ms);
    }
    CHECK(targets.crashes - crashes_before <= 3);
}

// Guards against blaming what harmful requests share with others: their caller, route and the
// segments before the harmful one.
TEST_CASE("crashing prompts: requests with the other segments of a harmful prompt are served") {
    gateway_harness harness(target_count);
    crashing_targets targets(harness);
    for (int i = 0; i < 100; ++i) {
        targets.send("a1:100," + std::string(crashing_targets::bad_segment));
        harness.advance(100ms);
        auto& sound = targets.send("a1:100,b2:50");
        REQUIRE(sound.response.status == 200);
        REQUIRE(sound.response.body == "id: 1\n\nid: 2\n\nid: 3\n\n");
        harness.advance(100ms);
    }
    CHECK(targets.crashes <= 4);
}

// Guards against a false promise: a request that has reached a target is not reported as not run.
TEST_CASE(
    "crashing prompts: a quarantined request is rejected as not run only if it was not sent") {
    gateway_harness harness(target_count);
    crashing_targets targets(harness);
    const auto bad = "a1:100," + std::string(crashing_targets::bad_segment);
    std::vector<std::optional<int>> statuses;
    while (targets.crashes < 3 || statuses.size() < 4) {
        statuses.push_back(targets.send(bad).response.status);
        harness.advance(200ms);
    }
    // Two attempts at most for each request: the second request is the first to be refused.
    CHECK(statuses.front() == 502);
    CHECK(statuses.back() == 503);
    const auto& last = harness.callers.back();
    CHECK(http::find_header(last.response.headers, "x-outcome") == "not run");
    CHECK(http::find_header(last.response.headers, "retry-after").has_value());
    const auto calls = harness.call_count();
    targets.send(bad);
    CHECK(harness.call_count() == calls);
}

// Guards against a request that waits in the queue while its segment is quarantined.
TEST_CASE("crashing prompts: a request that was assigned before the quarantine is not sent") {
    gateway_harness harness(target_count);
    auto& caller = harness.send("/talk/1", {{"x-prompt-parts", "a1:100,bad:50,1:10"}});
    auto& call = harness.last_call();
    const admission::suspect_list suspects{{0xa1, 0}, {0xbad, 1}};
    for (std::uint32_t target = 1; target <= 3; ++target) {
        harness.crashes.on_target_lost(suspects, target, true,
                                       gateway::crash_guard::verdict::admitted);
        harness.loop.advance(200ms);
    }
    CHECK_FALSE(call.listener->on_connected());
    harness.process_events();
    CHECK(caller.response.status == 503);
    CHECK(harness.call_count() == 1);
}

// Guards against a stream that ends with its connection inside an event being taken for whole, and
// against such losses not counting for the prompt.
TEST_CASE(
    "crashing prompts: a stream without a length that ends inside an event counts as a loss") {
    gateway_harness harness(target_count);
    for (int i = 0; i < 3; ++i) {
        harness.send("/write/" + std::to_string(i), {{"x-prompt-parts", "a1:100,bad:50,1:10"}});
        auto& call = harness.last_call();
        call.connect();
        call.head(200);
        call.body("id: 1\nda");
        call.listener->on_done();
        harness.advance(200ms);
    }
    CHECK(harness.crashes.quarantined_segments() == 1);
}

// Guards against a crash that looks like the end of an empty stream: it is no success, and clears
// nothing.
TEST_CASE(
    "crashing prompts: a stream without a length that ends before its first event counts as a "
    "loss") {
    gateway_harness harness(target_count);
    for (int i = 0; i < 3; ++i) {
        auto& caller =
            harness.send("/write/" + std::to_string(i), {{"x-prompt-parts", "a1:100,bad:50,1:10"}});
        auto& call = harness.last_call();
        call.connect();
        call.head(200);
        call.listener->on_done();
        harness.advance(200ms);
        CHECK(caller.response.status == 502);
    }
    CHECK(harness.crashes.quarantined_segments() == 1);
}
