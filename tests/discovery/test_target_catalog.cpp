// Tests of target eligibility: draining, drained data centres, missing entries, later incarnations.
#include "tests/gateway/gateway_harness.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;
using namespace std::chrono_literals;
using tests::make_target;

namespace {

const auto desk = helpers::id_of<helpers::service_id>("desk");

struct catalog_fixture {
    catalog_fixture() {
        for (const auto* name : {"a", "b", "c", "d"})
            this->catalog.update(make_target(name, "desk"), this->now);
    }
    const discovery::tracked_target* find(const std::string& name) const {
        for (const auto& each : this->catalog.targets_of(desk))
            if (each->registration.name == name)
                return each.get();
        return nullptr;
    }
    bool is_eligible(const std::string& name) const {
        const auto* found = this->find(name);
        return found != nullptr && this->catalog.is_eligible(*found);
    }

    helpers::time_point now{100s};
    kernel::null_sink events;
    discovery::target_catalog catalog{events, {}};
};

} // namespace

TEST_CASE("catalog: draining targets and targets of a drained data centre are not eligible") {
    catalog_fixture fixture;
    auto draining = make_target("a", "desk");
    draining.is_draining = true;
    fixture.catalog.update(draining, fixture.now);
    CHECK_FALSE(fixture.is_eligible("a"));
    CHECK(fixture.is_eligible("b"));
    fixture.catalog.set_drained_data_centres({"east"});
    CHECK_FALSE(fixture.is_eligible("b"));
    fixture.catalog.set_drained_data_centres({});
    CHECK(fixture.is_eligible("b"));
    CHECK_FALSE(fixture.is_eligible("a"));
}

TEST_CASE("catalog: a target whose entry was removed is removed") {
    catalog_fixture fixture;
    fixture.catalog.remove("a", fixture.now);
    CHECK(fixture.find("a") == nullptr);
}

TEST_CASE("catalog: targets missing after a registry outage stay eligible for the recovery grace "
          "period") {
    catalog_fixture fixture;
    fixture.catalog.on_registry_lost();
    fixture.catalog.on_registry_regained(fixture.now);
    for (const auto* name : {"a", "b", "c"})
        fixture.catalog.remove(name, fixture.now);
    CHECK(fixture.is_eligible("a"));
    fixture.catalog.update(make_target("a", "desk"), fixture.now + 1s);
    fixture.catalog.remove_expired(fixture.now + 2s);
    CHECK(fixture.find("b") != nullptr);
    fixture.catalog.remove_expired(fixture.now + 2500ms);
    CHECK(fixture.is_eligible("a"));
    CHECK(fixture.find("b") == nullptr);
}

TEST_CASE("catalog: a single target missing after a registry outage is not eligible") {
    catalog_fixture fixture;
    fixture.catalog.on_registry_lost();
    fixture.catalog.on_registry_regained(fixture.now);
    fixture.catalog.remove("a", fixture.now);
    CHECK_FALSE(fixture.is_eligible("a"));
    CHECK(fixture.is_eligible("b"));
}

TEST_CASE("catalog: a later incarnation with the same name is another target, and cold") {
    catalog_fixture fixture;
    const auto first = fixture.find("a")->serial;
    auto restarted = make_target("a", "desk");
    restarted.started_at = 5;
    restarted.cold_for = 3s;
    fixture.catalog.update(restarted, fixture.now);
    REQUIRE(fixture.find("a") != nullptr);
    CHECK(fixture.find("a")->serial != first);
    CHECK(fixture.find("a")->cold_until > fixture.now + 3s);
}

TEST_CASE("catalog: a list removes the targets that it does not contain") {
    catalog_fixture fixture;
    fixture.catalog.replace({make_target("b", "desk"), make_target("z", "desk")}, fixture.now);
    CHECK(fixture.find("a") == nullptr);
    CHECK(fixture.is_eligible("b"));
    CHECK(fixture.is_eligible("z"));
}

// Guards against two versions of a target's software being taken for one target.
TEST_CASE("catalog: a target that registers with other software is a later incarnation") {
    catalog_fixture fixture;
    const auto serial = fixture.find("a")->serial;
    auto changed = make_target("a", "desk");
    changed.software = "v2";
    fixture.catalog.update(changed, fixture.now);
    CHECK(fixture.find("a")->serial != serial);
    CHECK(fixture.find("a")->software_hash == discovery::software_hash("v2"));
}

// Guards against forgetting the version of targets that have left while their streams still go on.
TEST_CASE("catalog: the only software version of a service counts former targets for a time") {
    catalog_fixture fixture;
    CHECK(fixture.catalog.only_software(desk, 20s, fixture.now) == discovery::software_hash(""));
    auto added = make_target("e", "desk");
    added.software = "v2";
    fixture.catalog.update(added, fixture.now);
    CHECK_FALSE(fixture.catalog.only_software(desk, 20s, fixture.now));
    for (const auto* name : {"a", "b", "c", "d"})
        fixture.catalog.remove(name, fixture.now);
    CHECK_FALSE(fixture.catalog.only_software(desk, 20s, fixture.now + 19s));
    CHECK(fixture.catalog.only_software(desk, 20s, fixture.now + 21s) ==
          discovery::software_hash("v2"));
}

// Guards against a catalog that vouches for a time in which it has missed targets.
TEST_CASE("catalog: it is complete since its first list, and since the latest registry outage") {
    catalog_fixture fixture;
    CHECK_FALSE(fixture.catalog.is_complete_for(0s, fixture.now));
    fixture.catalog.replace({make_target("a", "desk")}, fixture.now);
    CHECK_FALSE(fixture.catalog.is_complete_for(20s, fixture.now + 19s));
    CHECK(fixture.catalog.is_complete_for(20s, fixture.now + 20s));
    fixture.catalog.on_registry_lost();
    fixture.catalog.on_registry_regained(fixture.now + 60s);
    CHECK_FALSE(fixture.catalog.is_complete_for(20s, fixture.now + 79s));
    CHECK(fixture.catalog.is_complete_for(20s, fixture.now + 80s));
}

// Guards against DRAIN: an older copy of the registry calls targets ready that are leaving or gone.
TEST_CASE("catalog: an older copy does not bring back targets that were draining or removed") {
    catalog_fixture fixture;
    auto draining = make_target("a", "desk");
    draining.is_draining = true;
    fixture.catalog.update(draining, fixture.now);
    fixture.catalog.remove("b", fixture.now);
    fixture.now += 3s;
    fixture.catalog.on_registry_restored(fixture.now);
    fixture.catalog.replace({make_target("a", "desk"), make_target("b", "desk"),
                             make_target("c", "desk"), make_target("d", "desk")},
                            fixture.now);
    CHECK_FALSE(fixture.is_eligible("a"));
    CHECK(fixture.find("b") == nullptr);
    CHECK(fixture.is_eligible("c"));
    // A later incarnation is another target.
    auto next = make_target("b", "desk");
    next.started_at = 5;
    fixture.catalog.update(next, fixture.now);
    CHECK(fixture.is_eligible("b"));
}

TEST_CASE("catalog: an entry that outlasts an older copy is believed") {
    catalog_fixture fixture;
    fixture.catalog.remove("a", fixture.now);
    fixture.catalog.on_registry_restored(fixture.now);
    fixture.catalog.replace({make_target("a", "desk"), make_target("b", "desk")}, fixture.now);
    fixture.catalog.remove_expired(fixture.now + 9s);
    CHECK_FALSE(fixture.is_eligible("a"));
    fixture.catalog.remove_expired(fixture.now + 10s);
    CHECK(fixture.is_eligible("a"));
}

TEST_CASE("catalog: targets that an older copy does not have yet are missing, not gone") {
    catalog_fixture fixture;
    fixture.catalog.on_registry_restored(fixture.now);
    fixture.catalog.replace(
        {make_target("a", "desk"), make_target("b", "desk"), make_target("c", "desk")},
        fixture.now);
    REQUIRE(fixture.find("d") != nullptr);
    CHECK_FALSE(fixture.is_eligible("d"));
    fixture.catalog.update(make_target("d", "desk"), fixture.now + 1s);
    CHECK(fixture.is_eligible("d"));
}
