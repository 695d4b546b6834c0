// Tests of the merge of VM list, marks and ejections.
#include "placement/target_directory.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;

namespace {

constexpr helpers::wall_milliseconds minute = 60'000;

helpers::vm_entry make_vm(const std::string& name, const std::string& data_centre,
                          std::uint64_t incarnation = 1) {
    helpers::vm_entry vm;
    vm.name = name;
    vm.data_centre = data_centre;
    vm.region = "region";
    vm.targets.push_back({name + "-target", "models", {"10.0.0.1", 80}, incarnation});
    return vm;
}

const auto models = helpers::id_of<helpers::service_id>("models");
const auto target_a = helpers::id_of<helpers::target_id>("a-target");
const auto target_b = helpers::id_of<helpers::target_id>("b-target");

struct directory_test {
    placement::target_directory directory;
    std::vector<helpers::vm_entry> vms{make_vm("a", "north"), make_vm("b", "south")};
    config::fleet_configuration configuration;

    directory_test() { this->directory.set_vms(this->vms, 0); }

    void mark(const std::string& data_centre, config::mark_state state,
              helpers::wall_milliseconds now) {
        this->configuration.data_centre_marks[data_centre] = {state, now};
        this->directory.set_marks(this->configuration, now);
    }
};

} // namespace

TEST_CASE("targets of a leaving VM or data centre and ejected targets become ineligible at once") {
    directory_test test;
    CHECK(test.directory.targets(models).size() == 2);
    CHECK(test.directory.find(target_a)->eligible);
    test.mark("north", config::mark_state::leaving, minute);
    CHECK_FALSE(test.directory.find(target_a)->eligible);
    CHECK(test.directory.find(target_b)->eligible);
    test.directory.set_ejected({target_b}, minute);
    CHECK_FALSE(test.directory.find(target_b)->eligible);
    test.directory.set_ejected({}, minute);
    CHECK(test.directory.find(target_b)->eligible);
    test.vms[1].leaving = true;
    test.directory.set_vms(test.vms, minute);
    CHECK_FALSE(test.directory.find(target_b)->eligible);
}

TEST_CASE(
    "a returning data centre regains its weight in slices, and again after it left a second time") {
    directory_test test;
    const auto weight = [&] { return test.directory.find(target_a)->weight; };
    for (const helpers::wall_milliseconds start : {10 * minute, 11 * minute}) {
        test.mark("north", config::mark_state::leaving, start - minute / 2);
        CHECK_FALSE(test.directory.find(target_a)->eligible);
        CHECK_FALSE(test.directory.next_change());
        test.mark("north", config::mark_state::returning, start);
        CHECK(test.directory.find(target_a)->eligible);
        CHECK(weight() == doctest::Approx(0.1));
        CHECK(test.directory.next_change() == start + minute / 2);
        test.directory.advance(start + minute / 2 - 1);
        CHECK(weight() == doctest::Approx(0.1));
        test.directory.advance(start + minute / 2);
        CHECK(weight() == doctest::Approx(0.2));
    }
    CHECK(test.directory.find(target_b)->weight == 1);
    test.directory.advance(20 * minute);
    CHECK(weight() == 1);
    CHECK_FALSE(test.directory.next_change());
}

TEST_CASE(
    "the latest incarnation of a target is used, and an unchanged list keeps the generation") {
    directory_test test;
    const auto generation = test.directory.generation();
    test.directory.set_vms(test.vms, minute);
    CHECK(test.directory.generation() == generation);
    test.vms.push_back(make_vm("a", "south", 2));
    test.directory.set_vms(test.vms, minute);
    CHECK(test.directory.generation() > generation);
    CHECK(test.directory.targets(models).size() == 2);
    CHECK(test.directory.find(target_a)->incarnation == 2);
    CHECK(test.directory.service_of(target_a) == models);
    CHECK(test.directory.targets(helpers::service_id{1}).empty());
}
