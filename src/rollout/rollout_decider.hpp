// Decides on the rollout order of one service. One gateway runs it, the reader; the conditional
// write of the status decides between two that both take themselves for the reader.
#pragma once

#include "rollout/assessment.hpp"
#include "rollout/order.hpp"

#include <string_view>
#include <vector>

namespace samphirespool::rollout {

struct decider_inputs {
    // Of a clock that counts the time in which the machine was suspended, as all `now` here.
    helpers::time_point now{};
    helpers::wall_milliseconds wall = 0;
    // Absent if the store has no order for the service.
    std::optional<stored_order> order;
    // Time since the store acknowledged the order, as far as it is known.
    helpers::duration order_age{};
    // The record in the store. Must have been looked for since the order was first seen:
    // update() issues nothing while `is_record_known` is false.
    bool is_record_known = false;
    std::optional<record> stored_record;
    // Sums over the fleet for this order; evidence_totals::rows_of().
    evidence_rows evidence;
    // Registered targets of the order's version, and of all others; 0 also while the targets have
    // not been read, which are_targets_known states.
    bool are_targets_known = true;
    std::size_t new_targets = 0;
    std::size_t old_targets = 0;
    // As in view_settings.
    double canary_share = 0.04;
};

struct status_write {
    order_status status;
    // The write must fail if the object has another revision.
    std::uint64_t revision = 0;
};

struct decider_outputs {
    // To be given to all gateways. `directive::service` is the key given at construction.
    std::optional<directive> issued;
    // Repeated until the inputs show a final status or a record as written.
    std::optional<status_write> status;
    std::optional<record> record_to_write;
    // Set when the phase has changed, with its cause, for the log.
    std::optional<phase> entered;
    std::string_view cause;
    assessment evidence;
};

class rollout_decider {
public:
    explicit rollout_decider(service_key service) : service(service) {}

    // Called at least every 200 ms, and when an input has changed.
    decider_outputs update(const decider_inputs& inputs);

private:
    void adopt(const decider_inputs& inputs, order_id id);
    void follow(rollout::phase stored, decider_outputs& outputs);
    void collect(const decider_inputs& inputs);
    assessment assess_all(const decider_inputs& inputs) const;
    void decide(const decider_inputs& inputs, decider_outputs& outputs);
    void enter(rollout::phase next, std::string_view cause, decider_outputs& outputs);
    void write(const decider_inputs& inputs, decider_outputs& outputs);

    service_key service;
    // The order that is being decided.
    std::optional<order_id> current;
    helpers::duration period{};
    helpers::time_point deadline{};
    // Invariant: only moves forward for one order, unless the store's final status differs.
    rollout::phase state = phase::observing;
    // `completed` is being written. Gateways may use only their credit until the store has it.
    bool is_completing = false;
    // Targets of other versions have been seen since the order.
    bool has_old = false;
    // Results since the new version first answered, oldest first, and the sums at the end of the
    // last interval.
    std::vector<evidence_rows> intervals;
    evidence_rows collected;
    bool has_answers = false;
    helpers::time_point collected_at{};
    std::optional<helpers::time_point> updated_at;
    // After a pause of this process, until messages that waited for it have been read.
    helpers::time_point earliest_completion{};
    std::optional<helpers::time_point> status_written_at;
    std::optional<helpers::time_point> record_written_at;
};

} // namespace samphirespool::rollout
