// Tests of fleet_state: when a gateway writes its own entry, and when it joins the exchange.
#include "gateway/fleet_state.hpp"
#include "platform/object_json.hpp"
#include "tests/discovery/fake_feed.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace samphirespool;
using namespace std::chrono_literals;
using discovery::collection;
using tests::page_of;

namespace {

struct fleet_state_fixture {
    fleet_state_fixture()
        : catalog(events, {}),
          dispatch(loop, random, events, catalog, settings_of("g1")),
          fleet({loop, random, events, source, codec}, catalog, dispatch, self,
                discovery::freshness_limits(2s)) {
        this->fleet.on_members_changed([this](const auto& members) { this->members = members; });
        this->loop.advance(1s);
        this->fleet.start();
    }

    static gateway::dispatch_settings settings_of(const std::string& name) {
        gateway::dispatch_settings settings;
        settings.own_name = name;
        settings.data_centre = "east";
        return settings;
    }
    discovery::feed_object entry_of(const exchange::member& of) const {
        return {of.name, this->codec.write_member(of)};
    }
    void complete(discovery::feed_result result) {
        this->source.complete(collection::members, std::move(result));
        this->loop.advance(1ns);
    }
    std::size_t writes() const {
        return static_cast<std::size_t>(std::count_if(
            this->source.calls.begin(), this->source.calls.end(),
            [](const auto& each) { return each.method == "create" || each.method == "replace"; }));
    }

    const exchange::member self{"g1", "east", {"10.0.0.1", 7000}, 100};
    const exchange::member other{"g2", "east", {"10.0.0.2", 7000}, 100};
    kernel::manual_loop loop;
    kernel::random_source random{3};
    kernel::null_sink events;
    tests::fake_feed_source source;
    platform::json_object_codec codec;
    discovery::target_catalog catalog;
    gateway::dispatcher dispatch;
    gateway::fleet_state fleet;
    std::vector<exchange::member> members;
};

} // namespace

TEST_CASE("fleet state: a gateway writes its entry once, whatever older lists it receives") {
    fleet_state_fixture fixture;
    fixture.complete(page_of(50));
    CHECK(fixture.writes() == 1);
    // Written at revision 60.
    fixture.complete(page_of(60));
    fixture.loop.advance(500ms);
    // The changes up to revision 55 do not contain the entry yet.
    fixture.complete(page_of(55, {fixture.entry_of(fixture.other)}));
    fixture.loop.advance(1100ms);
    CHECK(fixture.writes() == 1);
    CHECK(fixture.members.empty());
}

TEST_CASE("fleet state: a gateway whose entry was removed later writes it again") {
    fleet_state_fixture fixture;
    fixture.complete(page_of(50));
    fixture.complete(page_of(60));
    fixture.loop.advance(500ms);
    fixture.complete(page_of(61, {fixture.entry_of(fixture.self)}));
    CHECK(fixture.members.size() == 1);
    fixture.loop.advance(14s);
    fixture.complete(page_of(70, {{"g1", "", true}}));
    CHECK(fixture.writes() == 2);
}

TEST_CASE(
    "fleet state: a restarted gateway whose entry is listed writes nothing and joins at once") {
    fleet_state_fixture fixture;
    fixture.complete(
        page_of(50, {fixture.entry_of(fixture.self), fixture.entry_of(fixture.other)}));
    CHECK(fixture.writes() == 0);
    CHECK(fixture.members.size() == 2);
}

TEST_CASE("fleet state: a gateway joins without a confirmed entry after three seconds") {
    fleet_state_fixture fixture;
    fixture.complete(page_of(50, {fixture.entry_of(fixture.other)}));
    fixture.loop.advance(2900ms);
    CHECK(fixture.members.empty());
    fixture.loop.advance(200ms);
    CHECK(fixture.members.size() == 2);
}
