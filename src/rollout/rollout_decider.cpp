// Phases of one rollout order.
#include "rollout/rollout_decider.hpp"

#include "rollout/change_over.hpp"

#include <algorithm>

namespace samphirespool::rollout {

namespace {

// Length of an interval of the evidence; several rounds of the exchange.
constexpr helpers::duration interval = std::chrono::milliseconds(400);
// Older intervals are merged beyond this number, which bounds the work of an update.
constexpr std::size_t most_intervals = 64;
// The latest intervals are also judged by themselves (2 s), so that earlier good answers do not
// hide that a version has turned bad.
constexpr std::size_t recent_intervals = 5;
// Writes without a confirmation are repeated.
constexpr helpers::duration write_interval = std::chrono::milliseconds(300);
// An update is due every 200 ms; a longer gap means that the process was paused.
constexpr helpers::duration longest_gap = std::chrono::seconds(1);
constexpr helpers::duration time_to_catch_up = std::chrono::milliseconds(500);
// What the last 2 s may not show when the order is completed. There are few looks at these limits,
// and there is no way back.
constexpr assessment_limits suspicion{
    .improbable = 1e-3, .improbable_without_worst = 5e-2, .least_failures = 3};
// Fewer answers say nothing about a version, however little the credit allows.
constexpr std::uint32_t fewest_answers = 5;

void add_rows(evidence_rows& sums, const evidence_rows& added) {
    for (const auto& [key, values] : added)
        sums[key].add(values);
}

// At least 20 answers, or half of those that the credit has allowed if that is fewer.
bool has_enough(const assessment& result, const decider_inputs& inputs) {
    // Answers of one target say nothing of the others.
    if (result.new_targets < std::min<std::size_t>(2, inputs.new_targets))
        return false;
    const double allowed = inputs.canary_share * (result.new_answered + result.old_answered);
    const auto half = static_cast<std::uint32_t>(allowed / 2);
    const auto needed = std::clamp(half, fewest_answers, assessment_limits{}.least_answers);
    return result.new_answered >= needed;
}

bool is_due(std::optional<helpers::time_point>& last, helpers::time_point now) {
    if (last && now - *last < write_interval)
        return false;
    last = now;
    return true;
}

} // namespace

decider_outputs rollout_decider::update(const decider_inputs& inputs) {
    decider_outputs outputs;
    if (this->updated_at && inputs.now - *this->updated_at > longest_gap)
        this->earliest_completion = inputs.now + time_to_catch_up;
    this->updated_at = inputs.now;
    if (!inputs.order) {
        this->current.reset();
        return outputs;
    }
    const auto id = id_of(inputs.order->content);
    if (this->current != id) {
        if (!inputs.is_record_known)
            return outputs;
        this->adopt(inputs, id);
        outputs.entered = this->state;
        outputs.cause = "ordered";
    }
    this->has_old = this->has_old || inputs.old_targets > 0;
    this->collect(inputs);
    outputs.evidence = this->assess_all(inputs);
    if (const auto stored = inputs.order->final_phase())
        this->follow(*stored, outputs);
    else
        this->decide(inputs, outputs);
    this->write(inputs, outputs);
    const auto left = std::max(helpers::duration{}, this->deadline - inputs.now);
    // Gateways learn `completed` only when the store has it.
    const bool is_stored = inputs.order->final_phase().has_value();
    const bool is_unconfirmed = this->state == phase::completed && !is_stored;
    if (inputs.are_targets_known && !is_unconfirmed && (this->has_old || is_final(this->state)))
        outputs.issued = directive{this->service, id, this->state, left, {}};
    return outputs;
}

void rollout_decider::adopt(const decider_inputs& inputs, order_id id) {
    *this = rollout_decider(this->service);
    this->current = id;
    this->updated_at = inputs.now;
    this->collected_at = inputs.now;
    this->earliest_completion = inputs.now + time_to_catch_up;
    this->period = inputs.order->content.period;
    this->deadline = inputs.now + this->period - inputs.order_age;
    if (!inputs.stored_record || inputs.stored_record->order != id)
        return;
    // An earlier decider has seen the order, and not completed it at once.
    const std::chrono::milliseconds left(inputs.stored_record->deadline - inputs.wall);
    this->deadline = inputs.now + std::min<helpers::duration>(left, this->period);
    this->state = inputs.stored_record->phase;
    this->has_old = true;
    if (this->state != phase::completed)
        return;
    // Its status has been lost with a restore of the store, or is about to be written.
    this->state = phase::changing_over;
}

void rollout_decider::follow(rollout::phase stored, decider_outputs& outputs) {
    this->is_completing = false;
    if (this->state != stored)
        this->enter(stored, "stored", outputs);
}

void rollout_decider::collect(const decider_inputs& inputs) {
    const auto add_up = [&] {
        evidence_rows added;
        for (const auto& [key, values] : inputs.evidence) {
            const auto since = values.since(this->collected[key]);
            if (!since.is_empty())
                added[key] = since;
        }
        this->collected = inputs.evidence;
        this->collected_at = inputs.now;
        return added;
    };
    const bool is_due = inputs.now - this->collected_at >= interval;
    const bool has_new =
        std::any_of(inputs.evidence.begin(), inputs.evidence.end(), [](const auto& each) {
            return each.first.target != no_target && each.second.answered > 0;
        });
    if (!is_due)
        return;
    auto added = add_up();
    if (!this->has_answers && !has_new) {
        // Only the latest interval before the first answer of the new version is kept.
        this->intervals.clear();
        this->intervals.push_back(std::move(added));
        return;
    }
    this->has_answers = true;
    this->intervals.push_back(std::move(added));
    if (this->intervals.size() <= most_intervals)
        return;
    add_rows(this->intervals[0], this->intervals[1]);
    this->intervals.erase(this->intervals.begin() + 1);
}

assessment rollout_decider::assess_all(const decider_inputs& inputs) const {
    auto all = this->intervals;
    // What has arrived since the last interval ended.
    evidence_rows latest;
    for (const auto& [key, values] : inputs.evidence) {
        const auto found = this->collected.find(key);
        latest[key] = found == this->collected.end() ? values : values.since(found->second);
    }
    all.push_back(std::move(latest));
    auto result = assess(all, inputs.new_targets);
    if (result.is_unhealthy() || all.size() <= recent_intervals)
        return result;
    const std::vector<evidence_rows> recent(all.end() - recent_intervals, all.end());
    const auto now = assess(recent, inputs.new_targets);
    result.is_suspect = assess(recent, inputs.new_targets, suspicion).is_unhealthy();
    if (!now.is_unhealthy())
        return result;
    result.state = now.state;
    result.route = now.route;
    return result;
}

void rollout_decider::decide(const decider_inputs& inputs, decider_outputs& outputs) {
    // The store may have lost a final status that this decider has seen; it is written again.
    if (is_final(this->state) || !inputs.are_targets_known)
        return;
    const auto& result = outputs.evidence;
    if (result.is_unhealthy()) {
        this->enter(phase::reverted, name_of(result.state), outputs);
        return;
    }
    if (!this->has_old && inputs.new_targets > 0) {
        this->is_completing = true;
        return;
    }
    const bool is_enough = has_enough(result, inputs);
    if (this->state == phase::observing && is_enough &&
        inputs.now >= this->deadline - completion_lead - change_over_window(this->period))
        this->enter(phase::changing_over, "enough_evidence", outputs);
    // A version whose targets have left since has nobody to serve its requests.
    const bool may_complete = is_enough && inputs.new_targets > 0 && !outputs.evidence.is_suspect;
    if (may_complete && this->state == phase::changing_over &&
        inputs.now >= this->deadline - completion_lead && inputs.now >= this->earliest_completion)
        this->is_completing = true;
    // Evidence may be on its way.
    const bool is_waiting = inputs.now < this->earliest_completion;
    if (inputs.now >= this->deadline && !this->is_completing && !is_waiting)
        this->enter(phase::reverted,
                    result.new_answered == 0 ? "not_served"
                    : result.is_suspect      ? "suspect"
                                             : "little_evidence",
                    outputs);
}

void rollout_decider::enter(rollout::phase next, std::string_view cause, decider_outputs& outputs) {
    this->state = next;
    if (next == phase::reverted)
        this->is_completing = false;
    this->record_written_at.reset();
    this->status_written_at.reset();
    outputs.entered = next;
    outputs.cause = cause;
}

void rollout_decider::write(const decider_inputs& inputs, decider_outputs& outputs) {
    const auto stored = inputs.order->final_phase();
    const bool is_ended = is_final(this->state) || this->is_completing;
    if (!stored && is_ended && is_due(this->status_written_at, inputs.now)) {
        const auto next = this->is_completing ? phase::completed : this->state;
        outputs.status = status_write{{next, inputs.order->content.to}, inputs.order->revision};
    }
    const auto left = std::chrono::floor<std::chrono::milliseconds>(this->deadline - inputs.now);
    const record wanted{*this->current, this->state, inputs.wall + left.count()};
    const auto& known = inputs.stored_record;
    const bool is_known = known && known->order == wanted.order && known->phase == wanted.phase;
    if (!is_known && is_due(this->record_written_at, inputs.now))
        outputs.record_to_write = wanted;
}

} // namespace samphirespool::rollout
