// Tests of the configuration store: acceptance of changes, lost responses, racing operators,
// outages, provisional marks and starts, and that versions never decrease.
#include "tests/store/configuration_fleet.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <set>

using namespace samphirespool;
using namespace std::chrono_literals;
using config::change_status;
using config::mark_state;
using tests::write_outcome;

namespace {

config::change_request preset_change(const std::string& name, const std::string& id) {
    config::change_request result;
    result.body = config::use_preset{name};
    result.request_id = id;
    return result;
}

config::change_request mark_change(const std::string& name, const std::string& id,
                                   mark_state state = mark_state::leaving) {
    config::change_request result;
    result.body = config::mark_data_centre{name, state};
    result.request_id = id;
    return result;
}

config::organisation_definition organisation(std::size_t number) {
    config::organisation_definition result;
    result.name = "org-" + std::to_string(number);
    const auto digits = std::to_string(number);
    result.api_key_hash = std::string(64 - digits.size(), '0') + digits;
    return result;
}

config::change_request import_of(std::size_t organisations) {
    config::replace_all body;
    body.replacement = *config::initial_state().accepted;
    for (std::size_t i = 0; i < organisations; ++i) {
        auto definition = organisation(i);
        body.replacement.organisations.emplace(definition.name, definition);
    }
    config::change_request result;
    result.body = std::move(body);
    result.request_id = "import";
    return result;
}

bool is_leaving(const tests::fake_router& router, const std::string& name) {
    const auto current = router.store->current();
    if (current == nullptr)
        return false;
    const auto it = current->data_centre_marks.find(name);
    return it != current->data_centre_marks.end() && it->second.state == mark_state::leaving;
}

bool all_leaving(const tests::configuration_fleet& fleet, const std::string& name) {
    return std::all_of(fleet.routers.begin(), fleet.routers.end(),
                       [&name](const auto& router) { return is_leaving(*router, name); });
}

} // namespace

TEST_CASE("configuration store: a single router loads, accepts, rejects and restarts") {
    tests::configuration_fleet fleet(1);
    fleet.run_until([&] { return fleet.routers[0]->store->current() != nullptr; });
    REQUIRE(fleet.routers[0]->store->current() != nullptr);
    const auto accepted = fleet.change(0, preset_change("peak", "a"));
    CHECK(accepted.status == change_status::accepted);
    CHECK(accepted.version == 1);
    CHECK(fleet.routers[0]->store->current()->preset_in_force == "peak");
    const auto retried = fleet.change(0, preset_change("peak", "a"));
    CHECK(retried.status == change_status::accepted);
    CHECK(retried.version == 1);
    auto stale = preset_change("ordinary", "b");
    stale.if_version = 7;
    CHECK(fleet.change(0, stale).status == change_status::conflict);
    const auto invalid = fleet.change(0, preset_change("none", "c"));
    CHECK(invalid.status == change_status::invalid);
    CHECK(invalid.faults.size() == 1);
    fleet.start_router(0);
    fleet.run_until([&] { return fleet.routers[0]->store->current() != nullptr; });
    CHECK(fleet.routers[0]->version() == 1);
    CHECK(fleet.routers[0]->store->current()->preset_in_force == "peak");
}

TEST_CASE("configuration store: after a lost response to any write the outcome is read back") {
    const auto outcomes = {write_outcome::lost_before_effect, write_outcome::lost_after_effect,
                           write_outcome::lost_and_late, write_outcome::rejected};
    for (const auto outcome : outcomes) {
        for (const auto* key : {"configuration/root", "configuration/chunk/"}) {
            tests::configuration_fleet fleet(1);
            fleet.run_until([&] { return fleet.routers[0]->store->current() != nullptr; });
            fleet.change(0, import_of(3));
            fleet.shared.faults.scripted[key] = {outcome, outcome};
            config::change_request request;
            request.body = config::put_organisation{organisation(9)};
            request.request_id = "put";
            const auto result = fleet.change(0, request);
            CHECK(result.status == change_status::accepted);
            CHECK(result.version == 2);
            CHECK(fleet.routers[0]->store->current()->organisations.size() == 4);
            fleet.loop.advance(1s);
            CHECK(fleet.routers[0]->version() == 2);
        }
    }
}

TEST_CASE("configuration store: of racing changes conditional on one version, one is accepted") {
    tests::configuration_fleet fleet(3);
    fleet.run_until([&] { return fleet.routers[2]->store->current() != nullptr; });
    fleet.loop.advance(3s);
    CHECK(fleet.change(0, preset_change("peak", "first")).version == 1);
    fleet.loop.advance(2s);
    std::vector<config::change_result> results;
    for (std::size_t i = 0; i < 3; ++i) {
        auto request = preset_change(i == 0 ? "ordinary" : "maintenance", "id" + std::to_string(i));
        request.if_version = 1;
        fleet.routers[i]->store->change(request, [&results](const config::change_result& result) {
            results.push_back(result);
        });
    }
    fleet.run_until([&] { return results.size() == 3; });
    REQUIRE(results.size() == 3);
    int accepted = 0;
    for (const auto& result : results) {
        accepted += result.status == change_status::accepted ? 1 : 0;
        CHECK(
            (result.status == change_status::accepted || result.status == change_status::conflict));
        CHECK(result.version == 2);
    }
    CHECK(accepted == 1);
    // Without a condition every change is accepted, each as a version of its own.
    std::set<config::configuration_version> versions;
    for (std::size_t i = 0; i < 3; ++i)
        fleet.routers[i]->store->change(
            preset_change("peak", "any" + std::to_string(i)),
            [&versions](const config::change_result& result) { versions.insert(result.version); });
    fleet.run_until([&] { return versions.size() == 3; });
    CHECK(versions == std::set<config::configuration_version>{3, 4, 5});
}

TEST_CASE("configuration store: a change is in force on every router within four seconds") {
    tests::configuration_fleet fleet(30, 3);
    fleet.network.lost_share = 0.2;
    fleet.loop.advance(5s);
    REQUIRE(fleet.all_at(0));
    for (int i = 1; i <= 10; ++i) {
        const auto id = "id" + std::to_string(i);
        const auto result = fleet.change(static_cast<std::size_t>(i) * 7 % 30,
                                         preset_change(i % 2 == 0 ? "peak" : "ordinary", id));
        REQUIRE(result.status == change_status::accepted);
        const auto took = fleet.run_until([&] { return fleet.all_at(result.version); });
        CHECK(took < 4s);
    }
    for (const auto& router : fleet.routers)
        CHECK_FALSE(router->version_decreased);
}

TEST_CASE(
    "configuration store: 330 routers in six regions adopt changes within 4 s and at 22 KB/s") {
    constexpr std::size_t router_count = 330;
    constexpr double max_bytes_per_second = 22'000;
    tests::configuration_fleet fleet(router_count, 6);
    fleet.loop.advance(6s);
    REQUIRE(fleet.all_at(0));
    fleet.network.lost_share = 0.1;
    const auto bytes_before = fleet.network.bytes;
    // One change every ten seconds: 8,300 a day.
    for (config::configuration_version version = 1; version <= 4; ++version) {
        const auto id = "id" + std::to_string(version);
        const auto result = fleet.change(version * 97 % router_count, preset_change("peak", id));
        REQUIRE(result.version == version);
        const auto took = fleet.run_until([&] { return fleet.all_at(version); });
        MESSAGE("in force on all routers after " << took / 1ms << " ms");
        CHECK(took < 4s);
        fleet.loop.advance(10s - took);
    }
    const auto rate = static_cast<double>(fleet.network.bytes - bytes_before) / 40 / router_count;
    MESSAGE("bytes sent per second and router: " << rate);
    CHECK(rate < max_bytes_per_second);
}

TEST_CASE("configuration store: store calls do not grow with the number of routers") {
    const auto calls_per_minute = [](std::size_t routers) {
        tests::configuration_fleet fleet(routers);
        fleet.loop.advance(10s);
        const auto before = fleet.shared.reads + fleet.shared.writes + fleet.shared.watches;
        fleet.loop.advance(60s);
        return fleet.shared.reads + fleet.shared.writes + fleet.shared.watches - before;
    };
    CHECK(calls_per_minute(40) <= calls_per_minute(4));
}

TEST_CASE("configuration store: a leave mark takes effect while the store is down") {
    tests::configuration_fleet fleet(12, 2);
    fleet.loop.advance(5s);
    fleet.shared.set_down(true);
    fleet.loop.advance(5s);
    std::optional<config::change_result> result;
    fleet.routers[3]->store->change(mark_change("dc1", "m1"),
                                    [&result](const auto& received) { result = received; });
    CHECK(fleet.run_until([&] { return all_leaving(fleet, "dc1"); }) < 3s);
    fleet.run_until([&] { return result.has_value(); });
    CHECK(result->status == change_status::in_effect_not_durable);
    CHECK(fleet.change(4, preset_change("peak", "p")).status == change_status::not_accepted);
    CHECK(fleet.change(4, mark_change("dc1", "back", mark_state::returning)).status ==
          change_status::not_accepted);
    // A router that starts during the outage receives the version and the mark from its peers.
    fleet.start_router(7);
    fleet.run_until([&] { return is_leaving(*fleet.routers[7], "dc1"); });
    CHECK(is_leaving(*fleet.routers[7], "dc1"));
    fleet.shared.set_down(false);
    fleet.run_until([&] { return fleet.all_at(1); });
    CHECK(fleet.all_at(1));
    CHECK(all_leaving(fleet, "dc1"));
    CHECK(fleet.change(5, mark_change("dc1", "m1")).version == 1);
    const auto returned = fleet.change(6, mark_change("dc1", "m2", mark_state::returning));
    CHECK(returned.status == change_status::accepted);
    fleet.run_until([&] { return fleet.all_at(returned.version); });
    fleet.loop.advance(10s);
    CHECK_FALSE(is_leaving(*fleet.routers[3], "dc1"));
    CHECK(fleet.all_at(returned.version));
}

// A router on the other side of a partition sets `returning` without having received the
// provisional leave mark. After the partition heals, the leave mark must still be in effect.
TEST_CASE("configuration store: a return without knowledge of a leave mark does not cancel it") {
    tests::configuration_fleet fleet(4, 2);
    fleet.loop.advance(5s);
    REQUIRE(fleet.change(0, mark_change("dc1", "m0")).status == change_status::accepted);
    REQUIRE(fleet.change(0, mark_change("dc1", "m1", mark_state::returning)).version == 2);
    fleet.run_until([&] { return fleet.all_at(2); });
    // Partition region 1 (routers 1 and 3) from the store and from region 0.
    fleet.routers[1]->objects.set_cut_off(true);
    fleet.routers[3]->objects.set_cut_off(true);
    const auto side = [](const helpers::endpoint& address) {
        return (address.ip.back() - '0') % 2;
    };
    fleet.network.is_cut = [&](const auto& a, const auto& b) { return side(a) != side(b); };
    CHECK(fleet.change(1, mark_change("dc1", "cut")).status ==
          change_status::in_effect_not_durable);
    CHECK(is_leaving(*fleet.routers[3], "dc1"));
    CHECK(fleet.change(0, mark_change("dc1", "again", mark_state::returning)).version == 3);
    CHECK_FALSE(is_leaving(*fleet.routers[0], "dc1"));
    fleet.routers[1]->objects.set_cut_off(false);
    fleet.routers[3]->objects.set_cut_off(false);
    fleet.network.is_cut = nullptr;
    fleet.run_until([&] { return fleet.all_at(4); });
    CHECK(fleet.all_at(4));
    CHECK(all_leaving(fleet, "dc1"));
}

TEST_CASE("configuration store: no router is ready before it has the highest version") {
    tests::configuration_fleet fleet(3);
    fleet.loop.advance(4s);
    fleet.change(0, preset_change("peak", "a"));
    fleet.run_until([&] { return fleet.all_at(1); });
    fleet.shared.set_down(true);
    // All routers restart while the store is down: none may use the initial configuration.
    for (std::size_t i = 0; i < 3; ++i)
        fleet.routers[i].reset();
    for (std::size_t i = 0; i < 3; ++i)
        fleet.start_router(i);
    fleet.loop.advance(20s);
    for (const auto& router : fleet.routers)
        CHECK(router->store->current() == nullptr);
    fleet.shared.set_down(false);
    fleet.run_until([&] { return fleet.all_at(1); });
    CHECK(fleet.all_at(1));
}

TEST_CASE("configuration store: chunks that the root does not reference are deleted, no others") {
    tests::configuration_fleet fleet(3);
    fleet.loop.advance(4s);
    const auto chunks = [&fleet] {
        std::set<std::string> result;
        fleet.shared.objects.visit(config::chunk_prefix,
                                   [&result](const auto& key, const auto&) { result.insert(key); });
        return result;
    };
    REQUIRE(fleet.change(0, import_of(40)).status == change_status::accepted);
    for (std::uint32_t round = 2; round < 12; ++round) {
        config::change_request request;
        request.body = config::put_organisation{organisation(3)};
        std::get<config::put_organisation>(request.body).definition.weight = round;
        REQUIRE(fleet.change(1, request).status == change_status::accepted);
        fleet.loop.advance(6min);
    }
    const auto current_root = config::parse_root(fleet.shared.find(config::root_key).entry.value);
    std::size_t referenced_count = 0;
    for (const auto& name : current_root->chunks)
        referenced_count += chunks().count(std::string(config::chunk_prefix) + name);
    CHECK(referenced_count == static_cast<std::size_t>(std::count_if(
                                  current_root->chunks.begin(), current_root->chunks.end(),
                                  [](const auto& name) { return !name.empty(); })));
    // Ten chunks were replaced: the older ones are deleted, the latest are within the grace period.
    CHECK(chunks().size() < referenced_count + 8);
    fleet.start_router(2);
    fleet.run_until([&] { return fleet.all_at(11); });
    CHECK(fleet.all_at(11));
}

// Names of chunks contain the name of the writer. A restarted router must not reuse the names of
// its previous incarnation.
TEST_CASE("configuration store: no name of a chunk is reused, not even after a restart") {
    tests::configuration_fleet fleet(2);
    fleet.loop.advance(4s);
    std::set<std::string> names;
    for (std::size_t round = 1; round <= 6; ++round) {
        config::change_request request;
        request.body = config::put_organisation{organisation(3)};
        std::get<config::put_organisation>(request.body).definition.weight =
            static_cast<std::uint32_t>(round);
        REQUIRE(fleet.change(round % 2, request).status == change_status::accepted);
        const auto root = config::parse_root(fleet.shared.find(config::root_key).entry.value);
        REQUIRE(root);
        CHECK(names.insert(root->chunks[config::organisation_chunk("org-3")]).second);
        fleet.start_router(round % 2);
        fleet.loop.advance(4s);
    }
}

TEST_CASE("configuration store: a small change among 36,000 organisations writes one chunk") {
    tests::configuration_fleet fleet(3);
    fleet.loop.advance(4s);
    REQUIRE(fleet.change(0, import_of(36'000)).status == change_status::accepted);
    fleet.run_until([&] { return fleet.all_at(1); });
    REQUIRE(fleet.all_at(1));
    CHECK(fleet.routers[1]->store->current()->organisations.size() == 36'000);
    fleet.shared.objects.visit("", [](const auto&, const auto& found) {
        CHECK(found.value.size() < std::size_t{1} << 20);
    });
    const auto before = fleet.shared.writes;
    const auto bytes_before = fleet.network.bytes;
    config::change_request request;
    request.body = config::put_organisation{organisation(77)};
    std::get<config::put_organisation>(request.body).definition.weight = 5;
    CHECK(fleet.change(1, request).version == 2);
    CHECK(fleet.shared.writes - before == 2);
    CHECK(fleet.run_until([&] { return fleet.all_at(2); }) < 1s);
    CHECK(fleet.network.bytes - bytes_before < 30'000);
    CHECK(fleet.routers[2]->store->current()->organisations.at("org-77").weight == 5);
}
