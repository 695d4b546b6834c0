// Property tests of random sequences of configuration changes: deltas and chunks reproduce the
// acceptor's state, versions never decrease, and provisional marks merge in any order.
#include "config/checks.hpp"
#include "config/configuration_manager.hpp"
#include "wire/configuration_codec.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <map>
#include <string>
#include <vector>

using namespace samphirespool;

namespace {

// RapidCheck reads its seed from the environment once, at the first check.
const int seed_is_fixed = setenv("RC_PARAMS", "seed=20", 0);

constexpr int organisations = 6;
constexpr int kinds_of_change = 6;

std::string name_of(int number) {
    return "org-" + std::to_string(number);
}

config::change_body random_change() {
    const auto number = *rc::gen::inRange(0, organisations);
    const auto factor = *rc::gen::inRange(1, 9);
    config::organisation_definition organisation;
    organisation.name = name_of(number);
    organisation.api_key_hash = std::string(63, '0') + std::to_string(number);
    organisation.weight = static_cast<std::uint32_t>(factor);
    config::preset_definition preset;
    preset.name = config::preset_names[static_cast<std::size_t>(number % 3)];
    preset.limit_factor = factor;
    const auto state =
        factor % 2 == 0 ? config::mark_state::leaving : config::mark_state::returning;
    switch (*rc::gen::inRange(0, kinds_of_change)) {
    case 0:
        return config::put_organisation{organisation};
    case 1:
        return config::remove_organisation{organisation.name};
    case 2:
        return config::use_preset{preset.name};
    case 3:
        return config::put_preset{preset};
    case 4:
        return config::mark_data_centre{"dc" + std::to_string(number), state};
    default:
        return config::mark_vm{"vm" + std::to_string(number), state};
    }
}

// The chunk objects that were written, by key, as in the store.
using chunk_objects = std::map<std::string, std::string>;

std::vector<config::chunk_text> read_chunks(const chunk_objects& objects,
                                            const config::stored_root& before,
                                            const config::stored_root& after) {
    std::vector<config::chunk_text> result;
    for (const auto index : config::changed_chunks(before, after))
        result.push_back(
            {index, objects.at(std::string(config::chunk_prefix) + after.chunks[index])});
    return result;
}

void check_same(const config::configuration_state& a, const config::configuration_state& b) {
    RC_ASSERT(a.root == b.root);
    RC_ASSERT(a.accepted->version == b.accepted->version);
    RC_ASSERT(a.accepted->organisations == b.accepted->organisations);
    RC_ASSERT(a.accepted->presets == b.accepted->presets);
    RC_ASSERT(a.accepted->data_centre_marks == b.accepted->data_centre_marks);
    RC_ASSERT(a.accepted->vm_marks == b.accepted->vm_marks);
    RC_ASSERT(a.accepted->preset_in_force == b.accepted->preset_in_force);
}

} // namespace

TEST_CASE("change sequences: deltas, chunks and the acceptor agree at every version") {
    CHECK(rc::check([] {
        config::configuration_manager acceptor;
        config::configuration_manager follower;
        acceptor.adopt(config::initial_state());
        follower.adopt(config::initial_state());
        auto stored = config::initial_state();
        chunk_objects objects;
        const auto steps = *rc::gen::inRange(1, 25);
        for (int step = 0; step < steps; ++step) {
            config::change_request request;
            request.body = random_change();
            request.request_id = "id-" + std::to_string(step);
            const auto before = acceptor.state().root.version;
            auto plan = config::plan_change(acceptor.state(), request, acceptor.provisional(),
                                            {"w", static_cast<std::uint64_t>(step), 1000 + step});
            if (plan.result) {
                RC_ASSERT(plan.result->status == config::change_status::invalid);
                continue;
            }
            RC_ASSERT(config::check(*plan.next.accepted).empty());
            RC_ASSERT(plan.next.root.version == before + 1);
            for (const auto& chunk : plan.chunks)
                RC_ASSERT(objects.emplace(chunk.key, chunk.value).second);
            const auto root = config::parse_root(plan.root_value);
            RC_ASSERT(root.has_value());
            auto next = config::assemble(stored, *root, before + 1,
                                         read_chunks(objects, stored.root, *root));
            RC_ASSERT(next.has_value());
            stored = std::move(*next);
            acceptor.adopt(std::move(plan.next));
            check_same(acceptor.state(), stored);
            // The follower misses some pushes and later receives all deltas since its version.
            if (*rc::gen::inRange(0, 3) == 0)
                continue;
            const auto deltas = acceptor.deltas_since(follower.state().root.version);
            RC_ASSERT(deltas.has_value());
            const auto sent = wire::decode_configuration(wire::encode(config::delta_push{*deltas}));
            for (const auto& text : std::get<config::delta_push>(*sent).deltas)
                RC_ASSERT(follower.adopt(*config::parse_delta(text)) ==
                          config::adopt_result::adopted);
            check_same(follower.state(), stored);
            RC_ASSERT(follower.adopt(*config::parse_delta(deltas->back())) ==
                      config::adopt_result::not_newer);
        }
    }));
}

TEST_CASE("change sequences: provisional marks merge in any order and settle once") {
    CHECK(rc::check([] {
        const auto count = *rc::gen::inRange(1, 6);
        std::vector<config::provisional_mark> marks;
        marks.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            marks.push_back({"p" + std::to_string(i), config::mark_subject::data_centre,
                             "dc" + std::to_string(i % 2), 10 + i});
        config::configuration_manager first;
        config::configuration_manager second;
        first.adopt(config::initial_state());
        second.adopt(config::initial_state());
        for (const auto& mark : marks)
            first.add_provisional(mark);
        for (auto it = marks.rbegin(); it != marks.rend(); ++it)
            second.add_provisional(*it);
        RC_ASSERT(first.provisional().digest() == second.provisional().digest());
        RC_ASSERT(first.current()->data_centre_marks.size() ==
                  second.current()->data_centre_marks.size());
        RC_ASSERT(first.current()->version == 0U);
        // A `returning` mark from a router that holds the provisional marks settles them on every
        // router.
        config::change_request request;
        request.body = config::mark_data_centre{"dc0", config::mark_state::returning};
        request.request_id = "back";
        auto plan = config::plan_change(first.state(), request, first.provisional(), {"w", 1, 50});
        RC_ASSERT(!plan.result);
        auto next = plan.next;
        second.adopt(std::move(plan.next));
        first.adopt(std::move(next));
        for (const auto* manager : {&first, &second}) {
            RC_ASSERT(manager->current()->data_centre_marks.at("dc0").state ==
                      config::mark_state::returning);
            RC_ASSERT(
                manager->provisional().ids_for(config::mark_subject::data_centre, "dc0").empty());
        }
        RC_ASSERT(!second.add_provisional(marks[0]));
    }));
}

TEST_CASE("configuration codec: every message round-trips, truncated bytes do not decode") {
    const std::vector<config::configuration_message> messages{
        config::state_digest{true, 7, 9, {3, 4}, true},
        config::delta_push{{"a", ""}},
        config::snapshot_offer{12},
        config::marks_push{{{"id", config::mark_subject::vm, "vm-1", 5}}},
        config::vms_push{{1, 2},
                         {2, 3},
                         {{"vm", "dc", "north", true, {{"t", "s", {"10.0.0.1", 8}, 4}}}},
                         {"gone"}},
        config::snapshot_request{5, 6},
        config::snapshot_reply{5, true, "name", "text"},
    };
    for (const auto& message : messages) {
        auto bytes = wire::encode(message);
        const auto decoded = wire::decode_configuration(bytes);
        REQUIRE(decoded);
        CHECK(decoded->index() == message.index());
        CHECK(wire::encode(*decoded) == bytes);
        bytes.resize(bytes.size() / 2);
        CHECK_FALSE(wire::decode_configuration(bytes));
    }
}
