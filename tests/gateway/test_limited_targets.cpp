// Tests of targets that name a limit of the requests that they take.
#include "tests/gateway/gateway_harness.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <optional>

using namespace samphirespool;
using namespace std::chrono_literals;
using tests::gateway_harness;

namespace {

constexpr auto judged_window = 4s;
// Time after a target first names its limit until the limit binds.
constexpr auto stability_window = 3s;

// Sends requests to targets, of which one names a limit in its responses, and records when it
// received requests.
class limited_target {
public:
    limited_target(gateway_harness& harness, std::string per_second)
        : per_second(std::move(per_second)), harness(harness) {}

    void run_for(helpers::duration time, helpers::duration interval) {
        const auto end = this->harness.loop.time().now() + time;
        while (this->harness.loop.time().now() < end) {
            this->harness.send("/look/1");
            this->respond();
            this->harness.advance(interval);
        }
    }

    // The most requests that the target received in any window that begins after `from`.
    std::size_t most_in_window(helpers::time_point from) const {
        std::size_t most = 0;
        for (const auto start : this->received)
            if (start >= from)
                most = std::max(most, static_cast<std::size_t>(std::count_if(
                                          this->received.begin(), this->received.end(),
                                          [start](helpers::time_point at) {
                                              return at >= start && at < start + judged_window;
                                          })));
        return most;
    }

    std::string per_second;
    std::string name = "t0";
    std::vector<helpers::time_point> received;

private:
    void respond() {
        while (this->processed < this->harness.call_count()) {
            auto& call = *std::next(this->harness.targets.calls.begin(),
                                    static_cast<std::ptrdiff_t>(this->processed++));
            call.connect();
            const bool is_limited = call.header("x-expected-target") == this->name;
            if (is_limited)
                this->received.push_back(this->harness.loop.time().now());
            http::header_list headers;
            if (is_limited && !this->per_second.empty())
                headers.push_back({"x-target-limit", this->per_second});
            call.head(200, headers);
            call.body("ok");
            call.listener->on_done();
            this->harness.process_events();
        }
    }

    gateway_harness& harness;
    std::size_t processed = 0;
};

} // namespace

// Guards against a target in need that gets as many requests as the others (day "capped").
TEST_CASE("limited targets: a target gets no more requests than the limit that it names") {
    gateway_harness harness;
    limited_target target(harness, "2.5");
    const auto start = harness.loop.time().now();
    target.run_for(20s, 20ms);
    CHECK(target.most_in_window(start + stability_window) <= 1.5 * 2.5 * 4 + 5);
    CHECK_FALSE(target.received.empty());
}

// Guards against requests that wait for a limited target while others are free.
TEST_CASE("limited targets: what a limited target does not take goes to the others at once") {
    gateway_harness harness;
    limited_target target(harness, "1");
    target.run_for(10s, 20ms);
    for (const auto& caller : harness.callers) {
        CHECK(caller.response.status == 200);
        CHECK(caller.is_finished);
    }
}

// Guards against a limit that outlasts the responses that name it.
TEST_CASE("limited targets: the limit ends with the first response that does not name it") {
    gateway_harness harness;
    limited_target target(harness, "2");
    target.run_for(8s, 20ms);
    REQUIRE(harness.events.last("target.limited") != nullptr);
    target.per_second.clear();
    target.run_for(8s, 20ms);
    CHECK(harness.events.last("target.limit_ended") != nullptr);
    CHECK(target.most_in_window(harness.loop.time().now() - 5s) > 40);
}

// Guards against an unreadable value that lifts a limit, or that fails the response.
TEST_CASE("limited targets: an unreadable limit is logged and changes nothing") {
    gateway_harness harness;
    limited_target target(harness, "2.5");
    const auto start = harness.loop.time().now();
    target.run_for(4s, 20ms);
    target.per_second = "2,5 a second";
    target.run_for(12s, 20ms);
    const auto* logged = harness.events.last("target.limit_rejected");
    REQUIRE(logged != nullptr);
    CHECK(logged->text("value") == "2,5 a second");
    CHECK(target.most_in_window(start + stability_window) <= 1.5 * 2.5 * 4 + 5);
}
