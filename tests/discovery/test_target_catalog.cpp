// Which targets get work: drains, departures, lapsed entries, later lives.
#include "tests/gateway/gateway_harness.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;
using namespace std::chrono_literals;
using tests::make_target;

namespace {

const auto desk = helpers::id_of<helpers::service_id>("desk");

struct known_targets {
    known_targets() {
        for (const auto* name : {"a", "b", "c", "d"})
            this->catalog.update(make_target(name, "desk"), this->now);
    }
    const discovery::tracked_target* find(const std::string& name) const {
        for (const auto& each : this->catalog.targets_of(desk))
            if (each->registration.name == name)
                return each.get();
        return nullptr;
    }
    bool gets_work(const std::string& name) const {
        const auto* found = this->find(name);
        return found != nullptr && this->catalog.is_eligible(*found);
    }

    helpers::time_point now{100s};
    kernel::null_sink events;
    discovery::target_catalog catalog{events, {}};
};

} // namespace

TEST_CASE("catalog: a draining target and those of a leaving data centre get no work") {
    known_targets known;
    auto draining = make_target("a", "desk");
    draining.is_draining = true;
    known.catalog.update(draining, known.now);
    CHECK_FALSE(known.gets_work("a"));
    CHECK(known.gets_work("b"));
    known.catalog.set_drained_data_centres({"east"});
    CHECK_FALSE(known.gets_work("b"));
    known.catalog.set_drained_data_centres({});
    CHECK(known.gets_work("b"));
    CHECK_FALSE(known.gets_work("a"));
}

TEST_CASE("catalog: a removed entry names no target any more") {
    known_targets known;
    known.catalog.remove("a", known.now);
    CHECK(known.find("a") == nullptr);
}

TEST_CASE(
    "catalog: entries that lapsed with the registry away are used until they had time to return") {
    known_targets known;
    known.catalog.on_registry_lost();
    known.catalog.on_registry_regained(known.now);
    for (const auto* name : {"a", "b", "c"})
        known.catalog.remove(name, known.now);
    CHECK(known.gets_work("a"));
    known.catalog.update(make_target("a", "desk"), known.now + 1s);
    known.catalog.remove_expired(known.now + 2s);
    CHECK(known.find("b") != nullptr);
    known.catalog.remove_expired(known.now + 2500ms);
    CHECK(known.gets_work("a"));
    CHECK(known.find("b") == nullptr);
}

TEST_CASE("catalog: one entry missing after an outage is taken for a target that left") {
    known_targets known;
    known.catalog.on_registry_lost();
    known.catalog.on_registry_regained(known.now);
    known.catalog.remove("a", known.now);
    CHECK_FALSE(known.gets_work("a"));
    CHECK(known.gets_work("b"));
}

TEST_CASE("catalog: a later life under the same name is another target, and cold") {
    known_targets known;
    const auto first = known.find("a")->serial;
    auto reborn = make_target("a", "desk");
    reborn.started_at = 5;
    reborn.cold_for = 3s;
    known.catalog.update(reborn, known.now);
    REQUIRE(known.find("a") != nullptr);
    CHECK(known.find("a")->serial != first);
    CHECK(known.find("a")->cold_until > known.now + 3s);
}

TEST_CASE("catalog: a list removes what it does not name") {
    known_targets known;
    known.catalog.replace({make_target("b", "desk"), make_target("z", "desk")}, known.now);
    CHECK(known.find("a") == nullptr);
    CHECK(known.gets_work("b"));
    CHECK(known.gets_work("z"));
}
