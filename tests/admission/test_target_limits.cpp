// Tests of the limits that targets name, with an injected clock and without a network.
#include "admission/target_limits.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace samphirespool;
using namespace std::chrono_literals;
using admission::parse_request_rate;
using admission::target_limits;

namespace {

constexpr std::uint32_t target = 7;
constexpr auto judged_window = 4s;
constexpr auto told_margin = 500ms;

// Gateways that all want to send to one target as much as they may. The target names its limit in
// the response, which a gateway gets some time after it has sent a request.
struct limited_fleet {
    explicit limited_fleet(int count) {
        for (int i = 0; i < count; ++i)
            this->add();
        this->share_members();
    }

    void add() {
        this->names.push_back("g" + std::to_string(this->names.size()));
        this->gateways.emplace_back(this->names.back());
        this->told_at.emplace_back();
    }
    void share_members() {
        for (auto& each : this->gateways)
            each.set_members(this->names);
    }

    // `demand` is the number of requests per second and gateway.
    void run_for(helpers::duration time, double demand, bool with_exchange = true) {
        constexpr auto step = 10ms;
        for (const auto end = this->now + time; this->now < end; this->now += step) {
            for (std::size_t i = 0; i < this->gateways.size(); ++i) {
                if (!std::bernoulli_distribution(demand * 0.01)(this->random) ||
                    !this->gateways[i].may_send(target, this->now))
                    continue;
                this->gateways[i].on_sent(target, this->now);
                this->received.push_back(this->now);
                if (this->told_at[i] && this->now - *this->told_at[i] >= told_margin)
                    this->judged.push_back(this->now);
                this->responses.push_back({this->now + 100ms, i});
            }
            std::erase_if(this->responses, [this](const auto& each) {
                if (each.first > this->now)
                    return false;
                this->gateways[each.second].on_response(target, this->limit, this->now);
                if (this->limit && !this->told_at[each.second])
                    this->told_at[each.second] = this->now;
                return true;
            });
            if (with_exchange && this->now.time_since_epoch() % 100ms == 0ms)
                for (auto& each : this->gateways) {
                    this->gateways.front().merge(each.announcements(this->now), this->now);
                    each.merge(this->gateways.front().announcements(this->now), this->now);
                }
        }
    }

    // The most requests in any window that begins after `from`.
    static std::size_t most_in_window(const std::vector<helpers::time_point>& requests,
                                      helpers::time_point from) {
        std::size_t most = 0;
        for (const auto start : requests)
            if (start >= from)
                most = std::max(
                    most, static_cast<std::size_t>(std::count_if(
                              requests.begin(), requests.end(), [start](helpers::time_point at) {
                                  return at >= start && at < start + judged_window;
                              })));
        return most;
    }
    std::size_t received_since(helpers::time_point from) const {
        return static_cast<std::size_t>(
            std::count_if(this->received.begin(), this->received.end(),
                          [from](helpers::time_point at) { return at >= from; }));
    }

    std::mt19937 random{11};
    helpers::time_point now{1h};
    std::optional<double> limit;
    std::vector<std::string> names;
    std::vector<target_limits> gateways;
    std::vector<helpers::time_point> received;
    // Those of gateways that had heard of the limit half a second before.
    std::vector<helpers::time_point> judged;
    // When a gateway first got a response that names the limit.
    std::vector<std::optional<helpers::time_point>> told_at;
    std::vector<std::pair<helpers::time_point, std::size_t>> responses;
};

} // namespace

// Guards against an unreadable rate that becomes a limit of its own.
TEST_CASE("target limits: rates are parsed, and unreadable ones are rejected") {
    CHECK(parse_request_rate("4.25") == 4.25);
    CHECK(parse_request_rate("0") == 0);
    CHECK(parse_request_rate("1e300") == 1e6);
    for (const auto* text : {"", "-1", "nan", "inf", "4,2", "4 ", "x", "1e999"})
        CHECK_FALSE(parse_request_rate(text));
}

// Guards against gateways of which each keeps to a limit that holds for all together.
TEST_CASE("target limits: all gateways together keep to the limit, and use most of it") {
    for (const int gateways : {1, 9, 60, 295})
        for (const double limit : {0.3, 1.9, 4.2, 20.0, 150.0}) {
            CAPTURE(gateways);
            CAPTURE(limit);
            limited_fleet fleet(gateways);
            fleet.run_for(2s, 3);
            fleet.limit = limit;
            const auto named = fleet.now;
            fleet.run_for(23s, 600.0 / gateways);
            const auto most = fleet.most_in_window(fleet.received, named + 3s);
            CHECK(static_cast<double>(most) <= 1.5 * limit * 4 + 5);
            const auto in_twenty = static_cast<double>(fleet.received_since(named + 3s));
            CHECK(in_twenty >= 0.6 * limit * 20 - 2);
        }
}

// Guards against bounds that hold only while gateways reach each other.
TEST_CASE("target limits: the limit holds without messages between gateways, and while some join") {
    limited_fleet fleet(9);
    fleet.limit = 4;
    const auto named = fleet.now;
    fleet.run_for(15s, 50, false);
    CHECK(fleet.most_in_window(fleet.received, named + 3s) <= 1.5 * 4 * 4 + 5);
    // Three gateways that are not in the lists of the others yet.
    for (int i = 0; i < 3; ++i)
        fleet.add();
    for (std::size_t i = 9; i < 12; ++i)
        fleet.gateways[i].set_members(fleet.names);
    fleet.run_for(15s, 50, false);
    // Until a gateway has heard of the limit, what it sends does not count.
    CHECK(fleet.most_in_window(fleet.judged, named + 3s) <= 1.5 * 4 * 4 + 5);
}

// Guards against a limit that is kept after the target has stopped naming it.
TEST_CASE("target limits: the end of a limit reaches all gateways through those that hear it") {
    limited_fleet fleet(60);
    fleet.limit = 2;
    fleet.run_for(10s, 5);
    fleet.limit.reset();
    fleet.run_for(8s, 5);
    for (const auto& each : fleet.gateways)
        CHECK(each.limited_count() == 0);
    const auto ended = fleet.now;
    fleet.run_for(4s, 5);
    CHECK(fleet.received_since(ended) > 900);
}

// Guards against old statements that return through peers after newer ones.
TEST_CASE("target limits: an older statement of a peer does not replace a newer one") {
    target_limits gateway("g1");
    const helpers::time_point now{1h};
    gateway.on_response(target, 3.0, now);
    const auto old = gateway.announcements(now);
    REQUIRE(old.size() == 1);
    gateway.on_response(target, std::nullopt, now + 1s);
    CHECK(
        gateway.merge(std::vector{admission::target_limit{target, 3.0, 900ms}}, now + 1s).empty());
    CHECK(gateway.limited_count() == 0);
    CHECK(gateway.merge(std::vector{admission::target_limit{target, 5.0, 0ms}}, now + 2s).size() ==
          1);
    CHECK(gateway.limited_count() == 1);
}

// Guards against a limit of a target that is gone, or that nobody reaches, being kept for good.
TEST_CASE("target limits: a limit of which nothing was heard is dropped") {
    target_limits gateway("g2");
    gateway.set_members({"g1", "g2", "g3"});
    const helpers::time_point now{1h};
    gateway.on_response(target, 0.0, now);
    int allowed = 0;
    for (auto at = now; at < now + 29s; at += 10ms)
        if (gateway.may_send(target, at)) {
            gateway.on_sent(target, at);
            ++allowed;
        }
    CHECK(allowed <= 1);
    CHECK(gateway.may_send(target, now + 31s));
}
