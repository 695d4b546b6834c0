// Tests of the platform stand-in: versions, conditional updates, watches, faults and counters.
#include "standins/platform/platform.hpp"
#include "tests/store/fake_exchange.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <memory>
#include <string>

using namespace samphirespool;
using namespace std::chrono_literals;

namespace {

struct fixture {
    kernel::manual_loop loop;
    standins::platform platform{loop, {}};

    void start(const std::string& method, const std::string& target, const std::string& body,
               tests::recorded_response& response) {
        this->platform.handle(
            std::make_unique<tests::fake_exchange>(method, target, body, response));
    }
    tests::recorded_response call(const std::string& method, const std::string& target,
                                  const std::string& body = "") {
        tests::recorded_response response;
        this->start(method, target, body, response);
        return response;
    }
    std::uint64_t put(const std::string& target, const std::string& value) {
        const auto response = this->call("PUT", target, nlohmann::json{{"value", value}}.dump());
        REQUIRE(response.status == 200);
        return nlohmann::json::parse(response.body)["version"];
    }
};

} // namespace

TEST_CASE("platform stand-in: updates are conditional and versions never repeat") {
    fixture f;
    const auto first = f.put("/v1/objects/a/b?if_version=0", "one");
    CHECK(f.call("PUT", "/v1/objects/a/b?if_version=0", R"({"value":"x"})").status == 409);
    const auto second = f.put("/v1/objects/a/b?if_version=" + std::to_string(first), "two");
    CHECK(second > first);
    const auto stale = f.call("DELETE", "/v1/objects/a/b?if_version=" + std::to_string(first));
    CHECK(stale.status == 409);
    CHECK(nlohmann::json::parse(stale.body)["version"] == second);
    CHECK(f.call("DELETE", "/v1/objects/a/b?if_version=" + std::to_string(second)).status == 200);
    CHECK(f.call("GET", "/v1/objects/a/b").status == 404);
    CHECK(f.put("/v1/objects/a/b?if_version=0", "three") > second);
    const auto listed = nlohmann::json::parse(f.call("GET", "/v1/objects?prefix=a%2F").body);
    CHECK(listed["objects"].size() == 1);
}

TEST_CASE(
    "platform stand-in: a watch ends on a newer version, a timeout or the caller's disconnect") {
    fixture f;
    const auto version = f.put("/v1/objects/k", "one");
    const auto target = "/v1/watch/k?wait_ms=1000&after=" + std::to_string(version);
    tests::recorded_response timed_out;
    f.start("GET", target, "", timed_out);
    f.loop.advance(999ms);
    CHECK_FALSE(timed_out.status);
    f.loop.advance(1ms);
    CHECK(timed_out.status == 204);

    tests::recorded_response notified;
    tests::recorded_response disconnected;
    f.start("GET", target, "", notified);
    f.start("GET", target, "", disconnected);
    disconnected.disconnect_handler();
    f.put("/v1/objects/k", "two");
    CHECK(notified.status == 200);
    CHECK(nlohmann::json::parse(notified.body)["value"] == "two");
    f.loop.advance(2s);
    CHECK(disconnected.broken);
}

TEST_CASE("platform stand-in: faults reject, delay and lose responses, and calls are counted") {
    fixture f;
    tests::recorded_response watch;
    f.start("GET", "/v1/watch/k?after=0&wait_ms=1000", "", watch);
    CHECK(f.call("PUT", "/control/faults", R"({"mode":"down"})").status == 200);
    CHECK(watch.status == 503);
    CHECK(f.call("PUT", "/v1/objects/k", R"({"value":"x"})").status == 503);

    f.call("PUT", "/control/faults", R"({"mode":"slow","delay_ms":50})");
    tests::recorded_response slow;
    f.start("GET", "/v1/objects/k", "", slow);
    CHECK_FALSE(slow.status);
    f.loop.advance(50ms);
    CHECK(slow.status == 404);

    f.call("PUT", "/control/faults", R"({"mode":"lost_answers","lost_share":1.0,"seed":7})");
    for (int i = 0; i < 16; ++i)
        CHECK(f.call("PUT", "/v1/objects/n" + std::to_string(i), R"({"value":"x"})").broken);
    f.call("PUT", "/control/faults", R"({"mode":"up"})");
    const auto listed = nlohmann::json::parse(f.call("GET", "/v1/objects?prefix=n").body);
    CHECK(listed["objects"].size() > 0);
    CHECK(listed["objects"].size() < 16);
    CHECK(f.platform.counters().writes == 17);
    CHECK(f.platform.counters().watches == 1);
    CHECK(f.platform.counters().reads == 1);
    CHECK(f.platform.counters().lists == 1);
}

TEST_CASE("platform stand-in: calls above the rate limit are rejected") {
    kernel::manual_loop loop;
    standins::platform platform(loop, {2, 0});
    const auto put = [&] {
        tests::recorded_response response;
        platform.handle(std::make_unique<tests::fake_exchange>("PUT", "/v1/objects/k",
                                                               R"({"value":"x"})", response));
        return response.status.value_or(0);
    };
    CHECK(put() == 200);
    CHECK(put() == 200);
    CHECK(put() == 429);
    loop.advance(500ms);
    CHECK(put() == 200);
}
