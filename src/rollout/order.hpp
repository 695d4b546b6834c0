// A rollout order of a service, its stored status, the record of its progress and the directives
// that the decider issues. Plain values; see docs/design/rollouts.md.
#pragma once

#include "helpers/strong_id.hpp"
#include "helpers/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace samphirespool::rollout {

// Hash of the service's name and of the route's id, as in the messages of the exchange.
using service_key = std::uint64_t;
using route_key = std::uint64_t;
// See discovery::software_hash().
using software_key = std::uint32_t;
// Incarnation of a target. no_target stands for all targets of the other versions together.
using target_key = std::uint32_t;
constexpr target_key no_target = 0;

struct order_tag;
using order_id = helpers::strong_id<order_tag>;

// In the order of the merge: a later one absorbs an earlier one. `completed` and `reverted` are
// final; `reverted` absorbs `completed` among directives, since it only withdraws permissions.
enum class phase : std::uint8_t { observing = 0, changing_over = 1, completed = 2, reverted = 3 };

constexpr bool is_final(phase each) {
    return each >= phase::completed;
}
std::string_view name_of(phase each);

// Content of the store's object of a service, without its status.
struct order {
    software_key to = 0;
    helpers::duration period{};
    // Revision at which the object was created.
    std::uint64_t create_revision = 0;
};

// Identifies an order: a change of any of its fields makes it another order. The same in all
// processes and releases, and never 0.
order_id id_of(const order& given);

// The object's status. An order that has none is running.
struct order_status {
    phase state = phase::observing;
    software_key to = 0;
};

// The object as last read from the store.
struct stored_order {
    order content;
    std::optional<order_status> status;
    // For the conditional write of the status.
    std::uint64_t revision = 0;

    // The final phase in the store, if the status belongs to this order.
    std::optional<phase> final_phase() const;
};

// What gateways may do with the versions of a service. A lease: permissions end `lease_time` after
// the decider issued it.
struct directive {
    service_key service = 0;
    order_id order;
    rollout::phase phase = phase::observing;
    // Until the order's deadline; 0 if it has passed.
    helpers::duration left{};
    // Since the decider issued it.
    helpers::duration age{};
};

constexpr helpers::duration lease_time = std::chrono::milliseconds(1500);

// Progress of an order, kept in the store, so that a new decider continues the period.
struct record {
    order_id order;
    rollout::phase phase = phase::observing;
    helpers::wall_milliseconds deadline = 0;

    friend bool operator==(const record&, const record&) = default;
};

} // namespace samphirespool::rollout
