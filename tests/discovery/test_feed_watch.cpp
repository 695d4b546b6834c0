// Following a collection through pages, failures, lost history and a peer.
#include "tests/discovery/fake_feed.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;
using namespace std::chrono_literals;
using discovery::collection;
using tests::page_of;

namespace {

const kernel::error unavailable{kernel::error_kind::store_unavailable, "503"};

struct watched {
    watched() : feed(loop, random, events, source, kept, collection::targets, {}) {
        this->loop.advance(1s);
        this->feed.start();
    }
    void answer(discovery::feed_result with) {
        this->source.answer(collection::targets, std::move(with));
        this->loop.advance(1ns);
    }
    auto* open() { return this->source.open(collection::targets); }

    kernel::manual_loop loop;
    kernel::random_source random{3};
    kernel::null_sink events;
    tests::fake_feed_source source;
    tests::kept_feed kept;
    discovery::feed_watch feed;
};

} // namespace

TEST_CASE("feed: pages of a list are joined, and watched from the first page's revision") {
    watched it;
    it.answer(discovery::feed_page{{{"a", "1"}}, true, 5});
    REQUIRE(it.open() != nullptr);
    CHECK(it.open()->after == "a");
    CHECK_FALSE(it.feed.is_loaded());
    it.answer(page_of(9, {{"b", "2"}}));
    CHECK(it.kept.contents == std::map<std::string, std::string>{{"a", "1"}, {"b", "2"}});
    REQUIRE(it.open() != nullptr);
    CHECK(it.open()->what == "watch");
    CHECK(it.open()->since == 5);
}

TEST_CASE("feed: changes are applied, and those in quick succession share a call") {
    watched it;
    it.answer(page_of(5, {{"a", "1"}}));
    it.answer(page_of(6, {{"a", "", true}, {"b", "2"}}));
    CHECK(it.kept.contents == std::map<std::string, std::string>{{"b", "2"}});
    CHECK(it.open() == nullptr);
    it.loop.advance(120ms);
    REQUIRE(it.open() != nullptr);
    CHECK(it.open()->since == 6);
}

TEST_CASE("feed: after lost history the whole collection is read again") {
    watched it;
    it.answer(page_of(5, {{"a", "1"}}));
    it.answer(discovery::history_lost{});
    REQUIRE(it.open() != nullptr);
    CHECK(it.open()->what == "list");
    it.answer(page_of(90, {{"c", "3"}}));
    CHECK(it.kept.contents == std::map<std::string, std::string>{{"c", "3"}});
}

TEST_CASE("feed: failures keep what is known and pause longer each time") {
    watched it;
    it.answer(page_of(5, {{"a", "1"}}));
    for (int i = 0; i < 6; ++i) {
        it.answer(unavailable);
        CHECK(it.open() == nullptr);
        it.loop.advance(800ms);
        REQUIRE(it.open() != nullptr);
    }
    CHECK(it.kept.losses == 1);
    CHECK(it.kept.contents.size() == 1);
    CHECK(it.open()->since == 5);
    it.answer(page_of(7));
    CHECK(it.kept.returns == 2);
    CHECK(it.feed.is_reachable());
}

TEST_CASE("feed: a peer that is in touch replaces own calls, and a stale one does not") {
    watched it;
    it.answer(page_of(5, {{"a", "1"}}));
    CHECK(it.open() != nullptr);
    CHECK(it.feed.apply_from_peer(page_of(8, {{"b", "2"}}), 100ms));
    CHECK(it.open() == nullptr);
    CHECK(it.kept.contents.size() == 2);
    CHECK(it.feed.position() == 8);
    CHECK(it.feed.age(it.loop.time().now()) == 100ms);
    // It has heard nothing for too long, or knows less than this process.
    CHECK_FALSE(it.feed.apply_from_peer(page_of(9), 2s));
    CHECK_FALSE(it.feed.apply_from_peer(page_of(7), 10ms));
    it.feed.watch_directly(2s);
    it.loop.advance(1ns);
    REQUIRE(it.open() != nullptr);
    CHECK(it.open()->since == 8);
    CHECK(it.open()->wait == 2s);
}

TEST_CASE("feed: a peer cannot replace the first list") {
    watched it;
    CHECK_FALSE(it.feed.apply_from_peer(page_of(8, {{"b", "2"}}), 10ms));
    CHECK(it.kept.contents.empty());
}
