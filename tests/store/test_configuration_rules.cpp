// Checks the rules of model/configuration.pml on every update of the root object that took effect,
// while operators race, routers restart, and the store fails.
#include "tests/store/configuration_fleet.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

using namespace samphirespool;
using namespace std::chrono_literals;

namespace {

class root_rules {
public:
    explicit root_rules(tests::shared_store& shared) : shared(shared) {
        shared.on_update = [this](std::string_view key, const std::string& value) {
            if (key == config::root_key)
                this->check(value);
        };
    }

    std::vector<std::string> violations;
    std::set<std::string> accepted_ids;
    config::stored_root latest;

private:
    void check(const std::string& value) {
        const auto root = config::parse_root(value);
        if (!root) {
            this->violations.emplace_back("a root does not parse");
            return;
        }
        // UNCONDITIONAL: each accepted version is the successor of the previous one.
        this->require(root->version == this->latest.version + 1, "a version was skipped or reused");
        this->require(this->writers.emplace(root->writer, root->nonce).second,
                      "a writer reused a nonce");
        // NO_READ_BACK: a change is accepted once.
        for (const auto& [id, version] : root->recent)
            if (version == root->version)
                this->require(this->accepted_ids.insert(id).second, "a change was accepted twice");
        for (std::size_t i = 0; i < config::chunk_count; ++i)
            this->check_chunk(this->latest.chunks[i], root->chunks[i]);
        this->latest = *root;
    }

    void check_chunk(const std::string& before, const std::string& after) {
        if (before == after)
            return;
        this->require(this->names.insert(after).second, "the name of a chunk was reused");
        const auto chunk = this->shared.find(std::string(config::chunk_prefix) + after);
        this->require(chunk.status == store::store_status::ok,
                      "a chunk that the root references does not exist");
    }

    void require(bool holds, const char* rule) {
        if (!holds)
            this->violations.emplace_back(rule);
    }

    tests::shared_store& shared;
    std::set<std::pair<std::string, std::uint64_t>> writers;
    std::set<std::string> names;
};

config::change_body random_body(kernel::random_source& random) {
    config::organisation_definition organisation;
    const auto digit = std::to_string(random.below(5));
    organisation.name = "org-" + digit;
    organisation.api_key_hash = std::string(63, '0') + digit;
    organisation.weight = static_cast<std::uint32_t>(1 + random.below(9));
    const char* presets[] = {"ordinary", "peak", "maintenance"};
    if (random.below(3) == 0)
        return config::use_preset{presets[random.below(3)]};
    if (random.below(2) == 0)
        return config::mark_data_centre{"dc" + digit, random.below(2) == 0
                                                          ? config::mark_state::leaving
                                                          : config::mark_state::returning};
    return config::put_organisation{organisation};
}

// Results of one change that operators received.
struct change_outcome {
    std::set<config::configuration_version> versions;
    bool is_rejected = false;
};

void run_schedule(std::uint64_t seed) {
    constexpr std::size_t router_count = 6;
    tests::configuration_fleet fleet(router_count, 2, seed);
    root_rules rules(fleet.shared);
    kernel::random_source random(seed * 31);
    fleet.shared.faults.write_fault_share = 0.2;
    fleet.shared.faults.read_fault_share = 0.05;
    fleet.network.lost_share = 0.1;
    fleet.loop.advance(5s);
    std::map<std::string, change_outcome> outcomes;
    std::map<std::string, config::change_body> bodies;
    for (int step = 0; step < 250; ++step) {
        const auto id = "id-" + std::to_string(random.below(150));
        bodies.try_emplace(id, random_body(random));
        config::change_request request{bodies.at(id), 0, id, "operator"};
        fleet.routers[random.below(router_count)]->store->change(
            request, [&outcomes, id](const config::change_result& result) {
                if (result.status == config::change_status::accepted)
                    outcomes[id].versions.insert(result.version);
            });
        fleet.loop.advance(std::chrono::milliseconds(random.below(300)));
        const auto choice = random.below(60);
        if (choice < 2)
            fleet.start_router(random.below(router_count));
        if (choice == 10)
            fleet.shared.set_down(true);
        if (choice > 10 && choice < 25)
            fleet.shared.set_down(false);
    }
    fleet.shared.set_down(false);
    fleet.shared.faults.write_fault_share = 0;
    fleet.network.lost_share = 0;
    fleet.run_until([&] { return fleet.all_at(rules.latest.version); }, 60s);
    fleet.loop.advance(10s);
    CHECK(rules.violations == std::vector<std::string>{});
    CHECK(fleet.all_at(rules.latest.version));
    for (const auto& router : fleet.routers) {
        CHECK_FALSE(router->version_decreased);
        CHECK(router->store->current()->preset_in_force == rules.latest.preset_in_force);
    }
    // Every retry got the version of the first attempt.
    for (const auto& [id, outcome] : outcomes) {
        CHECK(outcome.versions.size() <= 1);
        CHECK((outcome.versions.empty() || rules.accepted_ids.contains(id)));
    }
    CHECK(rules.latest.version > 50);
}

} // namespace

TEST_CASE("configuration rules: every update of the root satisfies the model's rules") {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        run_schedule(seed);
    }
}
