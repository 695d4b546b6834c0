// Tests of the hub order, the feed log, the load aggregator and the message codec.
#include "exchange/feed_log.hpp"
#include "exchange/hub_order.hpp"
#include "exchange/load_aggregator.hpp"
#include "wire/exchange_codec.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace samphirespool;
using namespace std::chrono_literals;

namespace {

std::vector<exchange::member> make_members(int count) {
    std::vector<exchange::member> list;
    list.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        list.push_back({"g" + std::to_string(i), "dc" + std::to_string(i % 3), {}, 5});
    return list;
}

} // namespace

TEST_CASE("hub order: members with more capacity come first, whatever the order of the list") {
    auto list = make_members(30);
    list[7].capacity = 50;
    const auto groups = exchange::group_members(list);
    CHECK(groups.size() == 3);
    std::reverse(list.begin(), list.end());
    CHECK(exchange::group_members(list) == groups);
    CHECK(groups.at("dc1").front().name == "g7");
}

TEST_CASE("hub order: a small fleet is one group") {
    CHECK(exchange::group_members(make_members(9)).size() == 1);
}

TEST_CASE("feed log: returns only the latest state of each object that changed since a revision") {
    exchange::feed_log log;
    CHECK_FALSE(log.changes_since(0));
    log.reset(10);
    log.append({{{"a", "1"}, {"b", "1"}}, false, 11});
    log.append({{{"a", "2"}}, false, 12});
    CHECK_FALSE(log.changes_since(9));
    REQUIRE(log.changes_since(10));
    CHECK(log.changes_since(10)->size() == 2);
    CHECK(log.changes_since(10)->back().content == "2");
    CHECK(log.changes_since(11)->size() == 1);
    CHECK(log.changes_since(12)->empty());
}

TEST_CASE("feed log: drops the oldest changes beyond its maximum size") {
    exchange::feed_log log;
    log.reset(0);
    const std::string large(exchange::feed_log::max_bytes / 2, 'x');
    for (std::uint64_t revision = 1; revision <= 3; ++revision)
        log.append({{{"a", large}}, false, revision});
    CHECK_FALSE(log.changes_since(0));
    CHECK(log.changes_since(2));
}

TEST_CASE("load aggregator: old reports are left out") {
    exchange::load_aggregator aggregator;
    const helpers::time_point start{10s};
    aggregator.set_member_counts("a", "east", {{1, 3}}, start);
    aggregator.set_member_counts("b", "east", {{1, 2}}, start + 1s);
    aggregator.set_group_counts("west", {{1, 10}}, start + 1s);
    CHECK(aggregator.group_total(start + 1s).front().in_flight == 5);
    CHECK(aggregator.total_for("east", start + 1s).front().in_flight == 15);
    CHECK(aggregator.group_total(start + 2s).front().in_flight == 2);
    CHECK(aggregator.total_for("east", start + 10s).empty());
}

TEST_CASE("load aggregator: results of the receiver's data centre are given separately") {
    exchange::load_aggregator aggregator;
    const helpers::time_point now{10s};
    aggregator.set_member_counts("a", "east", {{1, 0, {5, 1}}}, now);
    aggregator.set_member_counts("b", "north", {{1, 0, {7, 0}}}, now);
    aggregator.set_group_counts("west", {{1, 0, {10, 4}}}, now);
    const auto total = aggregator.total_for("east", now).front();
    CHECK(total.results == admission::result_counts{22, 5});
    CHECK(total.same_data_centre == admission::result_counts{5, 1});
}

TEST_CASE("load aggregator: targets with failures are listed before those with more requests") {
    exchange::target_counts counts;
    for (std::uint32_t i = 0; i < 100; ++i)
        counts.push_back({i, 10 + i, {20, i == 3 ? 2U : 0U}});
    const auto largest = exchange::select_top(counts, 10);
    CHECK(std::any_of(largest.listed.begin(), largest.listed.end(),
                      [](const auto& each) { return each.incarnation_hash == 3; }));
    CHECK(largest.max_unlisted_in_flight == 100);
}

TEST_CASE("load aggregator: the largest counts are listed, with an upper bound for the others") {
    exchange::target_counts counts;
    for (std::uint32_t i = 0; i < 1000; ++i)
        counts.push_back({i, i % 100});
    const auto largest = exchange::select_top(counts, 50);
    CHECK(largest.listed.size() == 50);
    for (const auto& each : largest.listed)
        CHECK(each.in_flight >= 95);
    CHECK(largest.max_unlisted_in_flight == 94);
    CHECK(exchange::select_top(counts, 2000).listed.size() == 1000);
    CHECK(exchange::select_top(counts, 2000).max_unlisted_in_flight == 0);
}

TEST_CASE("exchange codec: messages survive a round trip, and truncated ones are rejected") {
    exchange::report report;
    report.round = 4;
    report.for_group = true;
    report.revisions = {1, 2, 3, 4};
    report.loads = {{7, 8, {9, 10}, {11, 12}}, {8, 100'000}};
    const auto encoded = wire::encode_exchange(report);
    const auto decoded_message = wire::decode_exchange(encoded);
    REQUIRE(decoded_message);
    const auto& decoded = std::get<exchange::report>(*decoded_message);
    CHECK(decoded.round == 4);
    CHECK(decoded.for_group);
    CHECK(decoded.revisions == report.revisions);
    REQUIRE(decoded.loads.size() == 2);
    CHECK(decoded.loads[0] == report.loads[0]);
    CHECK(decoded.loads[1].in_flight == 65'535);

    exchange::reply sent_reply;
    sent_reply.round = 9;
    sent_reply.max_unlisted_in_flight = 3;
    sent_reply.feeds.push_back({discovery::collection::members, 250ms, 77, true, {{"x", "{}"}}});
    const auto decoded_reply = wire::decode_exchange(wire::encode_exchange(sent_reply));
    REQUIRE(decoded_reply);
    CHECK(std::get<exchange::reply>(*decoded_reply).max_unlisted_in_flight == 3);
    const auto& update = std::get<exchange::reply>(*decoded_reply).feeds.front();
    CHECK(update.collection == discovery::collection::members);
    CHECK(update.age == 250ms);
    CHECK(update.revision == 77);
    CHECK(update.is_complete);
    CHECK(update.changes.front().name == "x");

    for (std::size_t size = 0; size < encoded.size(); ++size)
        CHECK_FALSE(wire::decode_exchange(std::span(encoded).first(size)));
}
