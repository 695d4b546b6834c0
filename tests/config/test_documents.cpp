// Tests of the configuration's documents: round trips, and every fault named with its path.
#include "config/changes.hpp"
#include "config/checks.hpp"
#include "config/documents.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace samphirespool;

namespace {

config::fleet_configuration sample() {
    auto result = config::initial_configuration();
    config::service_definition service;
    service.name = "bookings";
    service.kind = config::target_kind::service;
    service.path_prefixes = {"/bookings"};
    service.non_idempotent = {"POST /bookings"};
    result.services.emplace("bookings", service);
    config::organisation_definition organisation;
    organisation.name = "harbour";
    organisation.api_key_hash = std::string(64, 'a');
    organisation.max_requests_per_second = 2.5;
    result.organisations.emplace("harbour", organisation);
    result.presets["peak"].organisation_weights["harbour"] = 3;
    result.data_centre_marks["dc1"] = {config::mark_state::leaving, 1234};
    result.vm_marks["vm-1"] = {config::mark_state::returning, 99};
    return result;
}

bool names(const std::vector<kernel::error>& faults, const std::string& path) {
    return std::any_of(faults.begin(), faults.end(), [&path](const kernel::error& fault) {
        return fault.detail.starts_with(path + ":");
    });
}

} // namespace

TEST_CASE("documents: an exported configuration is imported as it was") {
    const auto before = sample();
    const auto after = config::import_configuration(config::export_configuration(before));
    REQUIRE(after.value);
    CHECK(config::check(*after.value).empty());
    CHECK(after.value->services == before.services);
    CHECK(after.value->organisations == before.organisations);
    CHECK(after.value->presets == before.presets);
    CHECK(after.value->data_centre_marks == before.data_centre_marks);
    CHECK(after.value->vm_marks == before.vm_marks);
}

TEST_CASE("documents: every malformed field is named at once") {
    const auto result = config::import_configuration(R"({
        "services": [{"name": 7, "kind": "lorry", "shards": -1, "colour": "red"}, 5],
        "organisations": [{"api_key_hash": "x", "weight": 99999999999}],
        "presets": {}, "extra": 1, "data_centre_marks": {"dc1": {"state": "gone"}}})");
    CHECK_FALSE(result.value);
    for (const auto* path :
         {"services[0].name", "services[0].kind", "services[0].shards", "services[0].colour",
          "services[1]", "organisations[0].name", "organisations[0].weight", "presets", "extra",
          "data_centre_marks.dc1.state"}) {
        CAPTURE(path);
        CHECK(names(result.faults, path));
    }
    CHECK_FALSE(config::parse_service("{").value);
    CHECK(names(config::parse_organisation("[]").faults, ""));
}

TEST_CASE("checks: every broken rule is named at once") {
    auto wrong = sample();
    wrong.services["other"] = wrong.services["bookings"];
    wrong.services["bookings"].load_multiple = 0.5;
    wrong.services["bookings"].non_idempotent = {"POST", "POST /ok"};
    wrong.services["bookings"].warm_capacity = 0;
    wrong.services["bookings"].placement = "no-such-strategy";
    wrong.organisations["harbour"].weight = 0;
    wrong.organisations["twin"] = wrong.organisations["harbour"];
    wrong.presets.erase("maintenance");
    wrong.presets["night"] = wrong.presets["peak"];
    wrong.preset_in_force = "holiday";
    wrong.vm_marks["a b"] = {};
    const auto faults = config::check(wrong);
    for (const auto* path :
         {"services.other.name", "services.other.path_prefixes", "services.bookings.load_multiple",
          "services.bookings.non_idempotent[0]", "services.bookings.warm_capacity",
          "services.bookings.placement", "organisations.harbour.weight", "organisations.twin.name",
          "organisations.twin.api_key_hash", "presets.maintenance", "presets.night",
          "preset_in_force", "vm_marks.a b"}) {
        CAPTURE(path);
        CHECK(names(faults, path));
    }
    CHECK_FALSE(names(faults, "services.bookings.non_idempotent[1]"));
    CHECK(config::check(sample()).empty());
}

TEST_CASE("changes: a repeated mark keeps its time and a replacement keeps the marks") {
    const auto before = sample();
    const auto again =
        config::apply(before, config::mark_data_centre{"dc1", config::mark_state::leaving}, 9000);
    REQUIRE(again.changed);
    CHECK(again.changed->data_centre_marks.at("dc1").since == 1234);
    const auto back =
        config::apply(before, config::mark_data_centre{"dc1", config::mark_state::returning}, 9000);
    CHECK(back.changed->data_centre_marks.at("dc1").since == 9000);
    const auto replaced =
        config::apply(before, config::replace_all{config::initial_configuration()}, 9000);
    REQUIRE(replaced.changed);
    CHECK(replaced.changed->services.empty());
    CHECK(replaced.changed->data_centre_marks == before.data_centre_marks);
    CHECK(config::apply(before, config::remove_organisation{"none"}, 0).faults.size() == 1);
}
