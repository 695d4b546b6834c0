// Tests of the configuration over store and peers: acceptance, lost answers, racing operators,
// outages, provisional marks, starts, and never back a version.
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

config::change_request leave(const std::string& name, const std::string& id,
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
    body.wanted = *config::initial_state().accepted;
    for (std::size_t i = 0; i < organisations; ++i) {
        auto each = organisation(i);
        body.wanted.organisations.emplace(each.name, each);
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
    const auto found = current->data_centre_marks.find(name);
    return found != current->data_centre_marks.end() && found->second.state == mark_state::leaving;
}

bool all_leaving(const tests::configuration_fleet& fleet, const std::string& name) {
    return std::all_of(fleet.routers.begin(), fleet.routers.end(),
                       [&name](const auto& each) { return is_leaving(*each, name); });
}

} // namespace

TEST_CASE("configuration store: a single router learns, accepts, refuses and restarts") {
    tests::configuration_fleet fleet(1);
    fleet.run_until([&] { return fleet.routers[0]->store->current() != nullptr; });
    REQUIRE(fleet.routers[0]->store->current() != nullptr);
    const auto accepted = fleet.change(0, preset_change("peak", "a"));
    CHECK(accepted.status == change_status::accepted);
    CHECK(accepted.version == 1);
    CHECK(fleet.routers[0]->store->current()->preset_in_force == "peak");
    const auto repeated = fleet.change(0, preset_change("peak", "a"));
    CHECK(repeated.status == change_status::accepted);
    CHECK(repeated.version == 1);
    auto stale = preset_change("ordinary", "b");
    stale.if_version = 7;
    CHECK(fleet.change(0, stale).status == change_status::conflict);
    const auto wrong = fleet.change(0, preset_change("none", "c"));
    CHECK(wrong.status == change_status::invalid);
    CHECK(wrong.faults.size() == 1);
    fleet.start_router(0);
    fleet.run_until([&] { return fleet.routers[0]->store->current() != nullptr; });
    CHECK(fleet.routers[0]->version() == 1);
    CHECK(fleet.routers[0]->store->current()->preset_in_force == "peak");
}

TEST_CASE("configuration store: a lost answer on every kind of write is read back") {
    const auto outcomes = {write_outcome::lost_before_effect, write_outcome::lost_after_effect,
                           write_outcome::lost_and_late, write_outcome::rejected};
    for (const auto outcome : outcomes) {
        for (const auto* key : {"configuration/root", "configuration/chunk/"}) {
            tests::configuration_fleet fleet(1);
            fleet.run_until([&] { return fleet.routers[0]->store->current() != nullptr; });
            fleet.change(0, import_of(3));
            fleet.shared.faults.scripted[key] = {outcome, outcome};
            config::change_request wanted;
            wanted.body = config::put_organisation{organisation(9)};
            wanted.request_id = "put";
            const auto result = fleet.change(0, wanted);
            CHECK(result.status == change_status::accepted);
            CHECK(result.version == 2);
            CHECK(fleet.routers[0]->store->current()->organisations.size() == 4);
            fleet.loop.advance(1s);
            CHECK(fleet.routers[0]->version() == 2);
        }
    }
}

TEST_CASE("configuration store: racing operators each change the version that they saw") {
    tests::configuration_fleet fleet(3);
    fleet.run_until([&] { return fleet.routers[2]->store->current() != nullptr; });
    fleet.loop.advance(3s);
    CHECK(fleet.change(0, preset_change("peak", "first")).version == 1);
    fleet.loop.advance(2s);
    std::vector<config::change_result> results;
    for (std::size_t i = 0; i < 3; ++i) {
        auto wanted = preset_change(i == 0 ? "ordinary" : "maintenance", "id" + std::to_string(i));
        wanted.if_version = 1;
        fleet.routers[i]->store->change(
            wanted, [&results](const config::change_result& got) { results.push_back(got); });
    }
    fleet.run_until([&] { return results.size() == 3; });
    REQUIRE(results.size() == 3);
    int accepted = 0;
    for (const auto& each : results) {
        accepted += each.status == change_status::accepted ? 1 : 0;
        CHECK((each.status == change_status::accepted || each.status == change_status::conflict));
        CHECK(each.version == 2);
    }
    CHECK(accepted == 1);
    // Without a condition every change is accepted, one version each.
    std::set<config::configuration_version> versions;
    for (std::size_t i = 0; i < 3; ++i)
        fleet.routers[i]->store->change(
            preset_change("peak", "any" + std::to_string(i)),
            [&versions](const config::change_result& got) { versions.insert(got.version); });
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
    for (const auto& each : fleet.routers)
        CHECK_FALSE(each->went_back);
}

TEST_CASE(
    "configuration store: 330 routers in six regions follow within four seconds and 22 KB/s") {
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
    MESSAGE("bytes sent a second and router: " << rate);
    CHECK(rate < max_bytes_per_second);
}

TEST_CASE("configuration store: store calls do not grow with the number of routers") {
    const auto calls_of = [](std::size_t routers) {
        tests::configuration_fleet fleet(routers);
        fleet.loop.advance(10s);
        const auto before = fleet.shared.reads + fleet.shared.writes + fleet.shared.watches;
        fleet.loop.advance(60s);
        return fleet.shared.reads + fleet.shared.writes + fleet.shared.watches - before;
    };
    CHECK(calls_of(40) <= calls_of(4));
}

TEST_CASE("configuration store: a leave mark takes effect while the store is down") {
    tests::configuration_fleet fleet(12, 2);
    fleet.loop.advance(5s);
    fleet.shared.set_down(true);
    fleet.loop.advance(5s);
    std::optional<config::change_result> result;
    fleet.routers[3]->store->change(leave("dc1", "m1"),
                                    [&result](const auto& got) { result = got; });
    CHECK(fleet.run_until([&] { return all_leaving(fleet, "dc1"); }) < 3s);
    fleet.run_until([&] { return result.has_value(); });
    CHECK(result->status == change_status::in_effect_not_durable);
    CHECK(fleet.change(4, preset_change("peak", "p")).status == change_status::not_accepted);
    CHECK(fleet.change(4, leave("dc1", "back", mark_state::returning)).status ==
          change_status::not_accepted);
    // A router that starts during the outage learns version and mark from its peers.
    fleet.start_router(7);
    fleet.run_until([&] { return is_leaving(*fleet.routers[7], "dc1"); });
    CHECK(is_leaving(*fleet.routers[7], "dc1"));
    fleet.shared.set_down(false);
    fleet.run_until([&] { return fleet.all_at(1); });
    CHECK(fleet.all_at(1));
    CHECK(all_leaving(fleet, "dc1"));
    CHECK(fleet.change(5, leave("dc1", "m1")).version == 1);
    const auto returned = fleet.change(6, leave("dc1", "m2", mark_state::returning));
    CHECK(returned.status == change_status::accepted);
    fleet.run_until([&] { return fleet.all_at(returned.version); });
    fleet.loop.advance(10s);
    CHECK_FALSE(is_leaving(*fleet.routers[3], "dc1"));
    CHECK(fleet.all_at(returned.version));
}

TEST_CASE("configuration store: a return by someone who did not know the mark does not undo it") {
    tests::configuration_fleet fleet(4, 2);
    fleet.loop.advance(5s);
    REQUIRE(fleet.change(0, leave("dc1", "m0")).status == change_status::accepted);
    REQUIRE(fleet.change(0, leave("dc1", "m1", mark_state::returning)).version == 2);
    fleet.run_until([&] { return fleet.all_at(2); });
    // Region 1 (routers 1 and 3) is cut off from the store and from region 0.
    fleet.routers[1]->objects.set_cut_off(true);
    fleet.routers[3]->objects.set_cut_off(true);
    const auto side = [](const helpers::endpoint& at) { return (at.ip.back() - '0') % 2; };
    fleet.network.is_cut = [&](const auto& a, const auto& b) { return side(a) != side(b); };
    CHECK(fleet.change(1, leave("dc1", "cut")).status == change_status::in_effect_not_durable);
    CHECK(is_leaving(*fleet.routers[3], "dc1"));
    CHECK(fleet.change(0, leave("dc1", "again", mark_state::returning)).version == 3);
    CHECK_FALSE(is_leaving(*fleet.routers[0], "dc1"));
    fleet.routers[1]->objects.set_cut_off(false);
    fleet.routers[3]->objects.set_cut_off(false);
    fleet.network.is_cut = nullptr;
    fleet.run_until([&] { return fleet.all_at(4); });
    CHECK(fleet.all_at(4));
    CHECK(all_leaving(fleet, "dc1"));
}

TEST_CASE("configuration store: no router takes work before it has the highest version") {
    tests::configuration_fleet fleet(3);
    fleet.loop.advance(4s);
    fleet.change(0, preset_change("peak", "a"));
    fleet.run_until([&] { return fleet.all_at(1); });
    fleet.shared.set_down(true);
    // All restart at once while the store is down: none may start from nothing.
    for (std::size_t i = 0; i < 3; ++i)
        fleet.routers[i].reset();
    for (std::size_t i = 0; i < 3; ++i)
        fleet.start_router(i);
    fleet.loop.advance(20s);
    for (const auto& each : fleet.routers)
        CHECK(each->store->current() == nullptr);
    fleet.shared.set_down(false);
    fleet.run_until([&] { return fleet.all_at(1); });
    CHECK(fleet.all_at(1));
}

TEST_CASE("configuration store: chunks that no root names are deleted, and only those") {
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
        config::change_request wanted;
        wanted.body = config::put_organisation{organisation(3)};
        std::get<config::put_organisation>(wanted.body).definition.weight = round;
        REQUIRE(fleet.change(1, wanted).status == change_status::accepted);
        fleet.loop.advance(6min);
    }
    const auto named = config::parse_root(fleet.shared.find(config::root_key).entry.value);
    std::size_t present = 0;
    for (const auto& name : named->chunks)
        present += chunks().count(std::string(config::chunk_prefix) + name);
    CHECK(present ==
          static_cast<std::size_t>(std::count_if(named->chunks.begin(), named->chunks.end(),
                                                 [](const auto& name) { return !name.empty(); })));
    // Of ten replaced chunks the old ones are gone; the last ones have their time of grace.
    CHECK(chunks().size() < present + 8);
    fleet.start_router(2);
    fleet.run_until([&] { return fleet.all_at(11); });
    CHECK(fleet.all_at(11));
}

TEST_CASE("configuration store: no chunk is written twice, not even by another life of a router") {
    tests::configuration_fleet fleet(2);
    fleet.loop.advance(4s);
    std::set<std::string> names;
    for (std::size_t round = 1; round <= 6; ++round) {
        config::change_request wanted;
        wanted.body = config::put_organisation{organisation(3)};
        std::get<config::put_organisation>(wanted.body).definition.weight =
            static_cast<std::uint32_t>(round);
        REQUIRE(fleet.change(round % 2, wanted).status == change_status::accepted);
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
    config::change_request wanted;
    wanted.body = config::put_organisation{organisation(77)};
    std::get<config::put_organisation>(wanted.body).definition.weight = 5;
    CHECK(fleet.change(1, wanted).version == 2);
    CHECK(fleet.shared.writes - before == 2);
    CHECK(fleet.run_until([&] { return fleet.all_at(2); }) < 1s);
    CHECK(fleet.network.bytes - bytes_before < 30'000);
    CHECK(fleet.routers[2]->store->current()->organisations.at("org-77").weight == 5);
}
