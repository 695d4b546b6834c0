// The deciding gateway: inputs and outputs of the deciders, records, and writes of the status.
#include "gateway/rollout_control.hpp"

#include "helpers/hex.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::gateway {

namespace {

constexpr helpers::duration records_retry_interval = std::chrono::milliseconds(300);

} // namespace

// A gateway that begins to decide starts with the records in the store.
void rollout_control::decide(bool is_deciding) {
    if (!std::exchange(this->was_deciding, is_deciding) && is_deciding)
        this->records_read_at.reset();
    const auto now = this->services.loop.time().now();
    for (auto& [name, state] : this->states) {
        if (!is_deciding || !state.order) {
            state.decider.reset();
            continue;
        }
        if (!this->are_records_known(state) && !this->is_listing_records &&
            now - this->records_asked_at >= records_retry_interval)
            this->list_records("");
        if (state.decider == nullptr)
            state.decider = std::make_unique<rollout::rollout_decider>(state.key);
        this->decide(state, now);
    }
}

bool rollout_control::are_records_known(const service_state& state) const {
    return this->records_read_at && *this->records_read_at >= state.first_seen;
}

rollout::decider_inputs rollout_control::make_inputs(service_state& state,
                                                     helpers::time_point now) {
    rollout::decider_inputs inputs;
    inputs.now = now;
    inputs.wall = this->services.loop.time().wall();
    inputs.order = state.order->stored;
    inputs.order_age = now - state.first_seen;
    inputs.is_record_known = this->are_records_known(state);
    inputs.stored_record = state.stored_record;
    inputs.evidence = this->evidence.totals(state.key, state.id, now);
    inputs.are_targets_known = !this->are_targets_known || this->are_targets_known();
    inputs.canary_share = this->settings.canary_share;
    for (const auto& each : this->services.catalog.targets_of({state.key})) {
        if (!this->services.catalog.is_eligible(*each))
            continue;
        if (each->software_hash == state.order->stored.content.to)
            ++inputs.new_targets;
        else
            ++inputs.old_targets;
    }
    return inputs;
}

void rollout_control::decide(service_state& state, helpers::time_point now) {
    const auto outputs = state.decider->update(this->make_inputs(state, now));
    this->issue(state, outputs, now);
    if (outputs.entered)
        this->log_phase(state, outputs);
    if (outputs.status)
        this->write_status(state, *outputs.status);
    if (outputs.record_to_write)
        this->write_record(state, *outputs.record_to_write);
}

void rollout_control::issue(service_state& state, const rollout::decider_outputs& outputs,
                            helpers::time_point now) {
    if (outputs.issued)
        this->view.merge(*outputs.issued, helpers::duration::zero(), now);
    if (outputs.entered)
        state.logged_phase = *outputs.entered;
}

void rollout_control::log_phase(service_state& state,
                                const rollout::decider_outputs& outputs) const {
    const auto& evidence = outputs.evidence;
    this->services.events.write(kernel::severity::info, "rollout.phase", std::nullopt,
                                {{"service", state.order->service},
                                 {"to", state.order->to},
                                 {"order", helpers::to_hex(state.id.value)},
                                 {"phase", std::string(rollout::name_of(*outputs.entered))},
                                 {"cause", std::string(outputs.cause)},
                                 {"health", std::string(rollout::name_of(evidence.state))},
                                 {"route", helpers::to_hex(evidence.route)},
                                 {"new_answered", std::uint64_t{evidence.new_answered}},
                                 {"new_failed", std::uint64_t{evidence.new_failed}},
                                 {"old_answered", std::uint64_t{evidence.old_answered}},
                                 {"old_failed", std::uint64_t{evidence.old_failed}},
                                 {"new_targets", std::uint64_t{evidence.new_targets}}});
}

void rollout_control::list_records(std::string_view after) {
    const auto now = this->services.loop.time().now();
    if (after.empty()) {
        this->partial_records.clear();
        this->records_asked_at = now;
    }
    this->is_listing_records = true;
    this->records_call = this->services.feeds.list(
        discovery::collection::rollout_records, after, discovery::list_freshness::current,
        [this, asked_at = this->records_asked_at](const discovery::feed_result& result) {
            // Kept until its handler has returned.
            this->completed_records_call = std::move(this->records_call);
            this->is_listing_records = false;
            this->on_records(result, asked_at);
        });
}

void rollout_control::on_records(const discovery::feed_result& result,
                                 helpers::time_point asked_at) {
    const auto* page = std::get_if<discovery::feed_page>(&result);
    if (page == nullptr)
        return;
    for (const auto& object : page->objects) {
        kernel::error reason;
        const auto read =
            this->services.codec.read_rollout_record(object.name, object.content, reason);
        if (read)
            this->partial_records[object.name] = *read;
    }
    if (page->more && !page->objects.empty()) {
        this->list_records(page->objects.back().name);
        return;
    }
    for (auto& [name, state] : this->states) {
        const auto found = this->partial_records.find(name);
        state.stored_record =
            found == this->partial_records.end() ? std::nullopt : std::optional(found->second);
    }
    this->records_read_at = asked_at;
    this->decide(this->was_deciding);
}

void rollout_control::write_status(service_state& state, const rollout::status_write& write) {
    if (std::exchange(state.is_writing_status, true))
        return;
    const auto content =
        this->services.codec.write_rollout_status(write.status.state, state.order->to);
    const auto name = state.order->service;
    const auto phase = std::string(rollout::name_of(write.status.state));
    state.status_call = this->services.feeds.write_status(
        discovery::collection::rollouts, name, content, write.revision,
        [this, &state, name, phase](const discovery::feed_result& result) {
            state.is_writing_status = false;
            const auto* reason = std::get_if<kernel::error>(&result);
            // After a conflict the feed brings what was written instead.
            this->services.events.write(
                reason == nullptr ? kernel::severity::info : kernel::severity::warning,
                "rollout.status_written", std::nullopt,
                {{"service", name},
                 {"phase", phase},
                 {"done", reason == nullptr},
                 {"reason", reason == nullptr ? std::string() : reason->detail}});
        });
}

void rollout_control::write_record(service_state& state, const rollout::record& wanted) {
    if (std::exchange(state.is_writing_record, true))
        return;
    const auto done = [&state, wanted](const discovery::feed_result& result) {
        state.is_writing_record = false;
        const auto* reason = std::get_if<kernel::error>(&result);
        if (reason == nullptr)
            state.stored_record = wanted;
        // The next attempt creates what does not exist, or replaces what does.
        else if (reason->kind == kernel::error_kind::not_found)
            state.stored_record.reset();
        else if (reason->kind == kernel::error_kind::conflict)
            state.stored_record = rollout::record{};
    };
    const auto kind = discovery::collection::rollout_records;
    const auto& name = state.order->service;
    const auto content = this->services.codec.write_rollout_record(wanted);
    auto& feeds = this->services.feeds;
    state.record_call = state.stored_record ? feeds.replace(kind, name, content, done)
                                            : feeds.create(kind, name, content, done);
}

} // namespace samphirespool::gateway
