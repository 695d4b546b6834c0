// Tests of feed_watch: list pages, changes, failures, lost history and updates from a peer.
#include "tests/discovery/fake_feed.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;
using namespace std::chrono_literals;
using discovery::collection;
using tests::page_of;

namespace {

const kernel::error unavailable{kernel::error_kind::store_unavailable, "503"};

struct feed_fixture {
    feed_fixture() : feed(loop, random, events, source, received, collection::targets, {}) {
        this->loop.advance(1s);
        this->feed.start();
    }
    void complete(discovery::feed_result with) {
        this->source.complete(collection::targets, std::move(with));
        this->loop.advance(1ns);
    }
    auto* open_call() { return this->source.open_call(collection::targets); }

    kernel::manual_loop loop;
    kernel::random_source random{3};
    kernel::null_sink events;
    tests::fake_feed_source source;
    tests::recording_receiver received;
    discovery::feed_watch feed;
};

} // namespace

TEST_CASE("feed watch: list pages are joined, and the watch starts at the first page's revision") {
    feed_fixture fixture;
    fixture.complete(discovery::feed_page{{{"a", "1"}}, true, 5});
    REQUIRE(fixture.open_call() != nullptr);
    CHECK(fixture.open_call()->after == "a");
    CHECK_FALSE(fixture.feed.is_loaded());
    fixture.complete(page_of(9, {{"b", "2"}}));
    CHECK(fixture.received.contents == std::map<std::string, std::string>{{"a", "1"}, {"b", "2"}});
    REQUIRE(fixture.open_call() != nullptr);
    CHECK(fixture.open_call()->method == "watch");
    CHECK(fixture.open_call()->since == 5);
}

TEST_CASE("feed watch: changes are applied, and those in quick succession share a call") {
    feed_fixture fixture;
    fixture.complete(page_of(5, {{"a", "1"}}));
    fixture.complete(page_of(6, {{"a", "", true}, {"b", "2"}}));
    CHECK(fixture.received.contents == std::map<std::string, std::string>{{"b", "2"}});
    CHECK(fixture.open_call() == nullptr);
    fixture.loop.advance(120ms);
    REQUIRE(fixture.open_call() != nullptr);
    CHECK(fixture.open_call()->since == 6);
}

TEST_CASE("feed watch: after lost history the whole collection is listed again") {
    feed_fixture fixture;
    fixture.complete(page_of(5, {{"a", "1"}}));
    fixture.complete(discovery::history_lost{});
    REQUIRE(fixture.open_call() != nullptr);
    CHECK(fixture.open_call()->method == "list");
    fixture.complete(page_of(90, {{"c", "3"}}));
    CHECK(fixture.received.contents == std::map<std::string, std::string>{{"c", "3"}});
}

TEST_CASE("feed watch: after failures the content is kept and the calls are retried") {
    feed_fixture fixture;
    fixture.complete(page_of(5, {{"a", "1"}}));
    for (int i = 0; i < 6; ++i) {
        fixture.complete(unavailable);
        CHECK(fixture.open_call() == nullptr);
        fixture.loop.advance(800ms);
        REQUIRE(fixture.open_call() != nullptr);
    }
    CHECK(fixture.received.losses == 1);
    CHECK(fixture.received.contents.size() == 1);
    CHECK(fixture.open_call()->since == 5);
    fixture.complete(page_of(7));
    CHECK(fixture.received.recoveries == 2);
    CHECK(fixture.feed.is_reachable());
}

TEST_CASE("feed watch: updates of a peer suspend own calls unless they are stale") {
    feed_fixture fixture;
    fixture.complete(page_of(5, {{"a", "1"}}));
    CHECK(fixture.open_call() != nullptr);
    CHECK(fixture.feed.apply_from_peer(page_of(8, {{"b", "2"}}), 100ms));
    CHECK(fixture.open_call() == nullptr);
    CHECK(fixture.received.contents.size() == 2);
    CHECK(fixture.feed.position() == 8);
    CHECK(fixture.feed.age(fixture.loop.time().now()) == 100ms);
    // Rejected: the data is too old, or its revision is lower than the known one.
    CHECK_FALSE(fixture.feed.apply_from_peer(page_of(9), 2s));
    CHECK_FALSE(fixture.feed.apply_from_peer(page_of(7), 10ms));
    fixture.feed.watch_directly(2s);
    fixture.loop.advance(1ns);
    REQUIRE(fixture.open_call() != nullptr);
    CHECK(fixture.open_call()->since == 8);
    CHECK(fixture.open_call()->wait == 2s);
}

TEST_CASE("feed watch: updates of a peer are rejected before the first list") {
    feed_fixture fixture;
    CHECK_FALSE(fixture.feed.apply_from_peer(page_of(8, {{"b", "2"}}), 10ms));
    CHECK(fixture.received.contents.empty());
}
