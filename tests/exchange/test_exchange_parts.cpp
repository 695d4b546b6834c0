// The parts of the exchange: hub order, log of changes, sums, and the encoding of messages.
#include "exchange/feed_log.hpp"
#include "exchange/hub_order.hpp"
#include "exchange/load_board.hpp"
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

TEST_CASE("hub order: the same for every order of the list, by capacity first") {
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

TEST_CASE("feed log: only the newest state of what changed since") {
    exchange::feed_log log;
    CHECK_FALSE(log.since(0));
    log.restart(10);
    log.append({{{"a", "1"}, {"b", "1"}}, false, 11});
    log.append({{{"a", "2"}}, false, 12});
    CHECK_FALSE(log.since(9));
    REQUIRE(log.since(10));
    CHECK(log.since(10)->size() == 2);
    CHECK(log.since(10)->back().content == "2");
    CHECK(log.since(11)->size() == 1);
    CHECK(log.since(12)->empty());
}

TEST_CASE("feed log: forgets the oldest changes beyond its size") {
    exchange::feed_log log;
    log.restart(0);
    const std::string large(exchange::feed_log::max_bytes / 2, 'x');
    for (std::uint64_t revision = 1; revision <= 3; ++revision)
        log.append({{{"a", large}}, false, revision});
    CHECK_FALSE(log.since(0));
    CHECK(log.since(2));
}

TEST_CASE("load board: old reports do not count") {
    exchange::load_board board;
    const helpers::time_point start{10s};
    board.report("a", "east", {{1, 3}}, start);
    board.report("b", "east", {{1, 2}}, start + 1s);
    board.report_group("west", {{1, 10}}, start + 1s);
    CHECK(board.group_total(start + 1s).front().in_flight == 5);
    CHECK(board.total_for("east", start + 1s).front().in_flight == 15);
    CHECK(board.group_total(start + 2s).front().in_flight == 2);
    CHECK(board.total_for("east", start + 10s).empty());
}

TEST_CASE("load board: results of the asker's data centre stand apart") {
    exchange::load_board board;
    const helpers::time_point now{10s};
    board.report("a", "east", {{1, 0, {5, 1}}}, now);
    board.report("b", "north", {{1, 0, {7, 0}}}, now);
    board.report_group("west", {{1, 0, {10, 4}}}, now);
    const auto seen = board.total_for("east", now).front();
    CHECK(seen.results == admission::result_counts{22, 5});
    CHECK(seen.same_data_centre == admission::result_counts{5, 1});
}

TEST_CASE("load board: targets that fail are listed before those with more requests") {
    exchange::target_counts counts;
    for (std::uint32_t i = 0; i < 100; ++i)
        counts.push_back({i, 10 + i, {20, i == 3 ? 2U : 0U}});
    const auto largest = exchange::largest_of(counts, 10);
    CHECK(std::any_of(largest.listed.begin(), largest.listed.end(),
                      [](const auto& each) { return each.incarnation_hash == 3; }));
    CHECK(largest.rest_at_most == 100);
}

TEST_CASE("load board: the largest counts, and a bound for the rest") {
    exchange::target_counts counts;
    for (std::uint32_t i = 0; i < 1000; ++i)
        counts.push_back({i, i % 100});
    const auto largest = exchange::largest_of(counts, 50);
    CHECK(largest.listed.size() == 50);
    for (const auto& each : largest.listed)
        CHECK(each.in_flight >= 95);
    CHECK(largest.rest_at_most == 94);
    CHECK(exchange::largest_of(counts, 2000).listed.size() == 1000);
    CHECK(exchange::largest_of(counts, 2000).rest_at_most == 0);
}

TEST_CASE("exchange codec: messages come back as they were, and garbage does not") {
    exchange::report report;
    report.round = 4;
    report.for_group = true;
    report.revisions = {1, 2, 3, 4};
    report.loads = {{7, 8, {9, 10}, {11, 12}}, {8, 100'000}};
    const auto encoded = wire::encode_exchange(report);
    const auto read = wire::decode_exchange(encoded);
    REQUIRE(read);
    const auto& same = std::get<exchange::report>(*read);
    CHECK(same.round == 4);
    CHECK(same.for_group);
    CHECK(same.revisions == report.revisions);
    REQUIRE(same.loads.size() == 2);
    CHECK(same.loads[0] == report.loads[0]);
    CHECK(same.loads[1].in_flight == 65'535);

    exchange::reply answer;
    answer.round = 9;
    answer.max_unlisted_in_flight = 3;
    answer.feeds.push_back({discovery::collection::members, 250ms, 77, true, {{"x", "{}"}}});
    const auto answered = wire::decode_exchange(wire::encode_exchange(answer));
    REQUIRE(answered);
    CHECK(std::get<exchange::reply>(*answered).max_unlisted_in_flight == 3);
    const auto& news = std::get<exchange::reply>(*answered).feeds.front();
    CHECK(news.collection == discovery::collection::members);
    CHECK(news.age == 250ms);
    CHECK(news.revision == 77);
    CHECK(news.is_complete);
    CHECK(news.changes.front().name == "x");

    for (std::size_t size = 0; size < encoded.size(); ++size)
        CHECK_FALSE(wire::decode_exchange(std::span(encoded).first(size)));
}
