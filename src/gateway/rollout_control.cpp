// Orders, permissions, and the exchange with other gateways. The decisions and their writes are in
// rollout_control_decisions.cpp.
#include "gateway/rollout_control.hpp"

#include "helpers/hex.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace samphirespool::gateway {

namespace {

// The decider must be updated at least every 200 ms.
constexpr helpers::duration tick_interval = std::chrono::milliseconds(100);
constexpr helpers::duration refusal_log_interval = std::chrono::seconds(1);

} // namespace

rollout_control::rollout_control(const rollout_services& services,
                                 const rollout::view_settings& settings, std::uint64_t seed)
    : services(services), settings(settings), view(settings, seed) {}

rollout_control::~rollout_control() {
    this->services.loop.cancel(this->timer);
}

void rollout_control::tick() {
    this->timer = this->services.loop.schedule(tick_interval, [this] { this->tick(); });
    const auto now = this->services.loop.time().now();
    this->note_versions(now);
    for (auto& [name, state] : this->states) {
        this->refresh_targets(state);
        for (const auto route : state.routes)
            if (const auto* times = this->evidence.log().total_times(state.key, route))
                this->view.set_times(state.key, route, *times);
    }
    this->decide(this->is_decider && this->is_decider());
    for (auto& [name, state] : this->states)
        if (state.order && state.decider == nullptr)
            this->follow_phase(state, now);
}

rollout_control::service_state* rollout_control::find(helpers::service_id service) {
    const auto found = this->by_key.find(service.value);
    return found == this->by_key.end() ? nullptr : found->second;
}

void rollout_control::set_orders(const std::map<std::string, std::string>& objects) {
    std::set<std::string> present;
    for (const auto& [name, content] : objects) {
        kernel::error reason;
        auto order = this->services.codec.read_rollout(name, content, reason);
        if (!order) {
            // What was read of it before stays in force.
            present.insert(name);
            this->services.events.write(kernel::severity::warning, "rollout.rejected", std::nullopt,
                                        {{"object", name}, {"reason", reason.detail}});
            continue;
        }
        const auto service = order->service;
        present.insert(service);
        this->apply_order(service, std::move(*order));
    }
    for (auto& [name, state] : this->states)
        if (state.order && !present.contains(name))
            this->remove_order(state);
    this->decide(this->was_deciding);
}

void rollout_control::apply_order(const std::string& name, rollout_order order) {
    const auto now = this->services.loop.time().now();
    auto& state = this->states[name];
    state.key = helpers::hash_name(name);
    this->by_key[state.key] = &state;
    const auto id = rollout::id_of(order.stored.content);
    const bool is_new = !state.order || state.id != id;
    state.order = std::move(order);
    state.id = id;
    this->view.set_order(state.key, name, state.order->stored, now);
    this->refresh_targets(state);
    this->evidence.retain(state.key, id, state.order->stored.content.to);
    if (!is_new)
        return;
    state.first_seen = now;
    state.logged_phase = rollout::phase::observing;
    this->register_metrics(state);
    const auto& content = state.order->stored.content;
    this->services.events.write(kernel::severity::info, "rollout.ordered", std::nullopt,
                                {{"service", name},
                                 {"to", state.order->to},
                                 {"order", helpers::to_hex(id.value)},
                                 {"period_ms", helpers::whole_milliseconds(content.period)}});
}

void rollout_control::remove_order(service_state& state) {
    const auto name = state.order->service;
    this->services.events.write(
        kernel::severity::info, "rollout.removed", std::nullopt,
        {{"service", name}, {"to", state.order->to}, {"order", helpers::to_hex(state.id.value)}});
    state.order.reset();
    state.decider.reset();
    this->view.set_order(state.key, name, std::nullopt, this->services.loop.time().now());
    this->evidence.end(state.key);
}

void rollout_control::on_targets_changed() {
    this->note_versions(this->services.loop.time().now());
    for (const auto& [name, state] : this->states)
        this->refresh_targets(state);
}

void rollout_control::refresh_targets(const service_state& state) {
    if (this->are_targets_known && !this->are_targets_known())
        return;
    std::vector<rollout::served_target> targets;
    for (const auto& each : this->services.catalog.targets_of({state.key}))
        if (this->services.catalog.is_eligible(*each))
            targets.push_back({each->registration.name, each->software_hash, each->added_at});
    this->view.set_targets(state.key, targets);
}

// A version that joins others may have an order that was not read yet. The first versions of a
// service that a gateway sees are taken for such only if there are several.
void rollout_control::note_versions(helpers::time_point now) {
    std::map<helpers::service_id, std::set<rollout::software_key>> present;
    for (const auto& each : this->services.catalog.all_targets())
        present[each->registration.service].insert(each->software_hash);
    // A version that has left may return with an order of its own.
    std::erase_if(this->known_versions, [&](const auto& known) {
        const auto found = present.find(known.service);
        return found != present.end() && !found->second.contains(known.software);
    });
    for (const auto& [service, versions] : present) {
        const auto first = this->known_versions.lower_bound({service, 0});
        const bool has_known = first != this->known_versions.end() && first->service == service;
        for (const auto version : versions) {
            const version_key key{service, version};
            if (this->known_versions.contains(key))
                continue;
            if (!has_known && versions.size() == 1)
                this->known_versions.insert(key);
            else
                this->new_versions.try_emplace(key, now);
        }
    }
    const auto confirmed = this->confirmed_at ? this->confirmed_at() : now;
    std::erase_if(this->new_versions, [&](const auto& each) {
        const bool is_read = confirmed > each.second;
        if (is_read)
            this->known_versions.insert(each.first);
        return is_read;
    });
}

bool rollout_control::is_held(const discovery::tracked_target& target, helpers::time_point now) {
    const version_key key{target.registration.service, target.software_hash};
    if (this->known_versions.contains(key))
        return false;
    this->note_versions(now);
    return !this->known_versions.contains(key);
}

rollout::side rollout_control::choose_side(helpers::service_id service, rollout::route_key route,
                                           bool is_retry, helpers::time_point now) {
    return this->view.choose_side(service.value, route, is_retry, now);
}

bool rollout_control::is_allowed(const discovery::tracked_target& target, rollout::side side,
                                 helpers::time_point now) {
    return !this->is_held(target, now) &&
           this->view.is_allowed(target.registration.service.value, target.registration.name,
                                 target.software_hash, side, now);
}

bool rollout_control::may_continue(const discovery::tracked_target& target,
                                   helpers::time_point now) {
    return this->view.may_continue(target.registration.service.value, target.software_hash, now);
}

void rollout_control::on_sent(helpers::service_id service, rollout::route_key route,
                              rollout::software_key software, bool is_first_attempt,
                              helpers::time_point now) {
    this->view.on_sent(service.value, route, software, is_first_attempt, now);
    auto* state = this->find(service);
    if (state == nullptr || !state->order)
        return;
    state->routes.insert(route);
    const bool is_new = software == state->order->stored.content.to;
    ++(is_new ? state->new_counts : state->old_counts).sent;
}

void rollout_control::record(helpers::service_id service, rollout::route_key route,
                             rollout::software_key software, rollout::target_key target,
                             const rollout::outcome& result) {
    this->evidence.log().record(service.value, route, software, target, result,
                                this->services.loop.time().now());
    auto* state = this->find(service);
    if (state == nullptr || !state->order || !result.is_failure)
        return;
    const bool is_new = software == state->order->stored.content.to;
    ++(is_new ? state->new_counts : state->old_counts).failed;
}

exchange::rollout_row_list rollout_control::rows(bool for_group, bool is_first_to_receiver) {
    return this->evidence.rows(for_group, is_first_to_receiver, this->services.loop.time().now());
}

void rollout_control::merge_rows(const std::string& sender, bool for_group,
                                 const exchange::rollout_row_list& received) {
    this->evidence.merge(sender, for_group, received);
}

exchange::rollout_directive_list rollout_control::directives() {
    exchange::rollout_directive_list result;
    for (const auto& each : this->view.directives(this->services.loop.time().now()))
        result.push_back({each.service, each.order.value, static_cast<std::uint8_t>(each.phase),
                          each.left, each.age});
    return result;
}

void rollout_control::merge_directives(const exchange::rollout_directive_list& received,
                                       helpers::duration delay) {
    const auto now = this->services.loop.time().now();
    for (const auto& each : received) {
        if (each.phase > static_cast<std::uint8_t>(rollout::phase::reverted))
            continue;
        const rollout::directive directive{each.service, rollout::order_id{each.order},
                                           static_cast<rollout::phase>(each.phase), each.left,
                                           each.age};
        if (this->view.merge(directive, delay, now))
            continue;
        if (this->refusal_logged_at && now - *this->refusal_logged_at < refusal_log_interval)
            continue;
        this->refusal_logged_at = now;
        this->services.events.write(kernel::severity::info, "rollout.refused_directive",
                                    std::nullopt,
                                    {{"order", helpers::to_hex(each.order)},
                                     {"phase", std::string(rollout::name_of(directive.phase))},
                                     {"age_ms", helpers::whole_milliseconds(each.age + delay)}});
    }
}

void rollout_control::follow_phase(service_state& state, helpers::time_point now) const {
    const auto known = this->view.find(state.key, now);
    if (!known || known->phase == state.logged_phase)
        return;
    state.logged_phase = known->phase;
    this->services.events.write(kernel::severity::info, "rollout.phase", std::nullopt,
                                {{"service", state.order->service},
                                 {"to", state.order->to},
                                 {"order", helpers::to_hex(state.id.value)},
                                 {"phase", std::string(rollout::name_of(known->phase))},
                                 {"cause", std::string("followed")}});
}

void rollout_control::register_metrics(service_state& state) {
    if (this->services.metrics == nullptr || std::exchange(state.has_metrics, true))
        return;
    auto& metrics = *this->services.metrics;
    const auto& service = state.order->service;
    const auto count = [&](const char* name, const char* help, const char* version,
                           const std::uint64_t& value) {
        metrics.watch_counter({name, help}, [&value] { return value; },
                              {{"service", service}, {"version", version}});
    };
    constexpr auto sent = "rollout_requests_total";
    constexpr auto sent_help = "Requests sent to a service during its rollouts.";
    constexpr auto failed = "rollout_failures_total";
    constexpr auto failed_help = "Failures of targets during rollouts of their service.";
    count(sent, sent_help, "new", state.new_counts.sent);
    count(sent, sent_help, "old", state.old_counts.sent);
    count(failed, failed_help, "new", state.new_counts.failed);
    count(failed, failed_help, "old", state.old_counts.failed);
    metrics.watch_gauge({"rollout_share", "Share of the requests during rollouts of the service "
                                          "that this gateway sent to the new version."},
                        [&state] {
                            const auto all = state.new_counts.sent + state.old_counts.sent;
                            return all == 0 ? 0.0
                                            : static_cast<double>(state.new_counts.sent) /
                                                  static_cast<double>(all);
                        },
                        {{"service", service}});
    metrics.watch_gauge(
        {"rollout_phase", "0: none or observing, 1: changing over, 2: completed, 3: reverted."},
        [this, &state] {
            const auto known = this->view.find(state.key, this->services.loop.time().now());
            return known ? static_cast<double>(known->phase) : 0.0;
        },
        {{"service", service}});
}

std::string rollout_control::describe() const {
    const auto now = this->services.loop.time().now();
    auto list = nlohmann::json::array();
    for (const auto& [name, state] : this->states) {
        const auto known = this->view.find(state.key, now);
        if (!state.order || !known)
            continue;
        list.push_back({{"service", name},
                        {"to", state.order->to},
                        {"order", helpers::to_hex(state.id.value)},
                        {"phase", std::string(rollout::name_of(known->phase))},
                        {"has_lease", known->has_lease},
                        {"credit", known->credit},
                        {"decides", state.decider != nullptr},
                        {"sent_new", state.new_counts.sent},
                        {"sent_old", state.old_counts.sent},
                        {"failed_new", state.new_counts.failed},
                        {"failed_old", state.old_counts.failed}});
    }
    return nlohmann::json{{"rollouts", std::move(list)}}.dump() + "\n";
}

} // namespace samphirespool::gateway
