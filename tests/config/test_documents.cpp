// Tests of the configuration's documents, its validation and changes: round trips, and all faults
// reported with their paths.
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

bool has_fault_at(const std::vector<kernel::error>& faults, const std::string& path) {
    return std::any_of(faults.begin(), faults.end(), [&path](const kernel::error& fault) {
        return fault.detail.starts_with(path + ":");
    });
}

} // namespace

TEST_CASE("documents: exporting and importing a configuration preserves it") {
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

TEST_CASE("documents: all malformed fields are reported at once") {
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
        CHECK(has_fault_at(result.faults, path));
    }
    CHECK_FALSE(config::parse_service("{").value);
    CHECK(has_fault_at(config::parse_organisation("[]").faults, ""));
}

TEST_CASE("checks: all violated rules are reported at once") {
    auto invalid = sample();
    invalid.services["other"] = invalid.services["bookings"];
    invalid.services["bookings"].load_multiple = 0.5;
    invalid.services["bookings"].non_idempotent = {"POST", "POST /ok"};
    invalid.services["bookings"].warm_capacity = 0;
    invalid.services["bookings"].placement = "no-such-strategy";
    invalid.organisations["harbour"].weight = 0;
    invalid.organisations["twin"] = invalid.organisations["harbour"];
    invalid.presets.erase("maintenance");
    invalid.presets["night"] = invalid.presets["peak"];
    invalid.preset_in_force = "holiday";
    invalid.vm_marks["a b"] = {};
    const auto faults = config::check(invalid);
    for (const auto* path :
         {"services.other.name", "services.other.path_prefixes", "services.bookings.load_multiple",
          "services.bookings.non_idempotent[0]", "services.bookings.warm_capacity",
          "services.bookings.placement", "organisations.harbour.weight", "organisations.twin.name",
          "organisations.twin.api_key_hash", "presets.maintenance", "presets.night",
          "preset_in_force", "vm_marks.a b"}) {
        CAPTURE(path);
        CHECK(has_fault_at(faults, path));
    }
    CHECK_FALSE(has_fault_at(faults, "services.bookings.non_idempotent[1]"));
    CHECK(config::check(sample()).empty());
}

TEST_CASE("changes: setting the same mark again keeps its time, replace_all keeps the marks") {
    const auto before = sample();
    const auto again =
        config::apply(before, config::mark_data_centre{"dc1", config::mark_state::leaving}, 9000);
    REQUIRE(again.changed);
    CHECK(again.changed->data_centre_marks.at("dc1").since == 1234);
    const auto returning =
        config::apply(before, config::mark_data_centre{"dc1", config::mark_state::returning}, 9000);
    CHECK(returning.changed->data_centre_marks.at("dc1").since == 9000);
    const auto replaced =
        config::apply(before, config::replace_all{config::initial_configuration()}, 9000);
    REQUIRE(replaced.changed);
    CHECK(replaced.changed->services.empty());
    CHECK(replaced.changed->data_centre_marks == before.data_centre_marks);
    CHECK(config::apply(before, config::remove_organisation{"none"}, 0).faults.size() == 1);
}
