// Permissions of one gateway during rollouts.
#include "rollout/rollout_view.hpp"

#include "rollout/canary_panel.hpp"

#include <algorithm>
#include <cmath>

namespace samphirespool::rollout {

namespace {

// Part of the exposure share that is earned; the rest covers what is counted late or twice.
constexpr double earned_part = 0.9;
constexpr helpers::duration plan_interval = std::chrono::milliseconds(100);
// With fewer answers the times of all routes of the service are used.
constexpr std::uint32_t least_times = 5;
// Part of a route's canary requests while the panel's targets are cold: slow answers do not count
// then, and a slow version has to be found before its 50th. Routes with long requests, which give
// the load, have a larger part.
constexpr double least_cold_part = 0.5;
// Largest part of the canary requests that is taken from a route with short requests. Beyond it the
// sum of the canary requests grows, at most to twice canary_share: 0.08, below what is earned.
constexpr double most_tilt = 0.25;
constexpr double largest_tilt = 1.25;
// Streams of some seconds reach a third to a half of their load in the time before the change-over.
constexpr double ramp_factor = 3;
// Longest time for which a final phase may be on its way.
constexpr helpers::duration final_time = std::chrono::seconds(10);

std::uint32_t sum_of(const duration_counts& given) {
    std::uint32_t sum = 0;
    for (const auto each : given)
        sum += each;
    return sum;
}

} // namespace

rollout_view::rollout_view(const view_settings& settings, std::uint64_t seed)
    : settings(settings), random(seed) {}

void rollout_view::set_order(service_key service, std::string_view name,
                             const std::optional<stored_order>& order, helpers::time_point now) {
    if (!order && !this->services.contains(service))
        return;
    auto& state = this->services[service];
    state.name = name;
    if (!order) {
        leave_order(state, true, now);
        update_targets(state);
        return;
    }
    const auto id = id_of(order->content);
    if (!state.order || state.id != id) {
        // An order that returns after another one is a new order. A removed one may return with an
        // older copy of the store, and keeps its end.
        if (state.order)
            state.reverted_orders.erase(id);
        leave_order(state, false, now);
        state.id = id;
        state.credit.emplace(earned_part * this->settings.exposure_share, this->random);
        if (!state.reverted_orders.contains(id)) {
            state.barred.erase(order->content.to);
            state.barred_at.erase(order->content.to);
        }
        state.withdrawn.erase(order->content.to);
    }
    state.order = order;
    update_targets(state);
    note_phase(state, now);
}

// A removed order is withdrawn, a replaced one counts as reverted.
void rollout_view::leave_order(service_state& state, bool is_removed, helpers::time_point now) {
    if (!state.order)
        return;
    const auto former = state.order->content.to;
    const auto phase = phase_of(state);
    if (!is_final(phase) && is_removed) {
        state.withdrawn.insert(former);
        state.barred_at[former] = now;
    } else if (!is_final(phase))
        bar(state, former, now);
    state.order.reset();
    state.id = {};
    state.directed.reset();
    state.issued = {};
    state.deadline = {};
    state.credit.reset();
    state.routes.clear();
    state.counted_since.reset();
    state.planned_at.reset();
    state.has_old = false;
}

void rollout_view::bar(service_state& state, software_key software, helpers::time_point now) {
    if (state.barred.insert(software).second)
        state.barred_at[software] = now;
}

// Remembers what is final.
void rollout_view::note_phase(service_state& state, helpers::time_point now) {
    const auto stored = state.order->final_phase();
    const auto to = state.order->content.to;
    if (stored)
        state.directed = *stored;
    if (stored == phase::completed) {
        state.reverted_orders.erase(state.id);
        state.barred.erase(to);
        state.barred_at.erase(to);
        return;
    }
    if (phase_of(state) != phase::reverted)
        return;
    state.reverted_orders.insert(state.id);
    bar(state, to, now);
}

rollout::phase rollout_view::phase_of(const service_state& state) {
    if (const auto stored = state.order->final_phase())
        return *stored;
    if (state.reverted_orders.contains(state.id))
        return phase::reverted;
    return state.directed.value_or(phase::observing);
}

void rollout_view::set_targets(service_key service, const std::vector<served_target>& targets) {
    auto& state = this->services[service];
    state.targets = targets;
    update_targets(state);
}

void rollout_view::update_targets(service_state& state) {
    state.panel_places.clear();
    state.old_targets = 0;
    std::vector<std::string> names;
    std::vector<helpers::time_point> since;
    for (const auto& each : state.targets) {
        if (!state.order || each.software != state.order->content.to) {
            ++state.old_targets;
            continue;
        }
        names.push_back(each.name);
        since.push_back(each.registered_at);
    }
    state.new_targets = names.size();
    state.has_old = state.has_old || (state.order && state.old_targets > 0);
    std::vector<helpers::time_point> members;
    for (const auto index : panel_order(state.name, names)) {
        state.panel_places.emplace(names[index], members.size());
        members.push_back(since[index]);
    }
    members.resize(std::min<std::size_t>(2, members.size()));
    state.warm_at = {};
    for (const auto each : members)
        state.warm_at = std::max(state.warm_at, each + outcome::warm_up_time);
}

// In the change-over the panel grows to all targets, so that its first members have the load of an
// old target before all of them do.
std::size_t rollout_view::panel_size_at(const service_state& state, helpers::time_point now) const {
    const auto least = panel_size(state.new_targets, this->settings.canary_share);
    if (state.directed != phase::changing_over)
        return least;
    const auto window = change_over_window(state.order->content.period);
    const auto left = state.deadline - completion_lead - now;
    const double done = std::clamp(1 - std::chrono::duration<double>(left) / window, 0.0, 1.0);
    const auto others = static_cast<double>(state.new_targets - least);
    return least + static_cast<std::size_t>(std::ceil(done * others));
}

bool rollout_view::merge(const directive& received, helpers::duration transit,
                         helpers::time_point now) {
    const auto found = this->services.find(received.service);
    if (found == this->services.end())
        return false;
    auto& state = found->second;
    if (!state.order || state.id != received.order)
        return false;
    const auto issued = now - received.age - transit;
    // Received from another order of the same id; see directives().
    if (now - issued >= final_time)
        return false;
    // A final phase withdraws permissions or states a fact of the store, and does not expire.
    if (!is_final(received.phase) && now - issued >= lease_time)
        return false;
    state.directed = std::max(state.directed.value_or(phase::observing), received.phase);
    if (issued > state.issued || state.deadline == helpers::time_point{}) {
        state.issued = issued;
        state.deadline = now - transit + received.left;
    }
    note_phase(state, now);
    return true;
}

std::vector<directive> rollout_view::directives(helpers::time_point now) const {
    std::vector<directive> result;
    for (const auto& [service, state] : this->services) {
        if (!state.order || !state.directed)
            continue;
        const auto phase = phase_of(state);
        // Also a final one is passed on only while the decider repeats it: an order that returns
        // has the same id as before.
        if (!has_lease(state, now))
            continue;
        result.push_back({service, state.id, phase,
                          std::max(helpers::duration{}, state.deadline - now), now - state.issued});
    }
    return result;
}

bool rollout_view::has_lease(const service_state& state, helpers::time_point now) {
    return state.directed && now >= state.issued && now - state.issued < lease_time;
}

// The decider issues no directives for an order to the only version until it has completed it. One
// that was received means that there were others.
bool rollout_view::is_only_version(const service_state& state) {
    return state.new_targets > 0 && !state.has_old && !state.directed;
}

rollout_view::route_state& rollout_view::route_of(service_state& state, route_key route) {
    const auto [found, is_added] = state.routes.try_emplace(route);
    if (is_added) {
        found->second.due = this->random.fraction();
        found->second.canary_share = this->settings.canary_share;
    }
    return found->second;
}

side rollout_view::choose_side(service_key service, route_key route, bool is_retry,
                               helpers::time_point now) {
    const auto found = this->services.find(service);
    if (found == this->services.end() || !found->second.order)
        return side::any;
    auto& state = found->second;
    const auto phase = phase_of(state);
    if (phase == phase::completed)
        return side::new_version;
    if (phase == phase::reverted)
        return side::old_versions;
    if (is_only_version(state))
        return side::any;
    if (is_retry || state.new_targets == 0 || !has_lease(state, now))
        return side::old_versions;
    return this->is_new_due(state, route, now) ? side::new_version : side::old_versions;
}

bool rollout_view::is_new_due(service_state& state, route_key route, helpers::time_point now) {
    auto& chosen = this->route_of(state, route);
    this->update_shares(state, now);
    if (state.directed == phase::changing_over)
        plan(state, now);
    if (chosen.has_begun)
        return state.credit->has_credit();
    // At most one is due, so that a time without credit or targets is followed by no burst.
    const double part = now < state.warm_at ? chosen.cold_part : 1;
    chosen.due = std::min(chosen.due, 1.0) + part * chosen.canary_share;
    if (chosen.due < 1 || !state.credit->has_credit())
        return false;
    chosen.due -= 1;
    return true;
}

// Shares of the routes. If canary_share gives the panel less than the load of old targets, routes
// with long requests have a larger one: their requests give the targets the load
// that some faults need for less credit.
void rollout_view::update_shares(service_state& state, helpers::time_point now) const {
    if (state.shared_at && now - *state.shared_at < plan_interval)
        return;
    state.shared_at = now;
    const double share = this->settings.canary_share;
    double sent = 0;
    double work = 0;
    double squares = 0;
    const auto mean_of = [](const route_state& route) {
        return std::chrono::duration<double>(quantile(route.times, 0.5)).count();
    };
    for (const auto& [key, route] : state.routes) {
        const auto weight = static_cast<double>(route.sent);
        sent += weight;
        work += weight * mean_of(route);
        squares += weight * mean_of(route) * mean_of(route);
    }
    double tilt = 0;
    if (work > 0) {
        const double panel = static_cast<double>(panel_size(state.new_targets, share));
        const double wanted =
            ramp_factor * panel / (share * static_cast<double>(state.new_targets));
        const double possible = squares * sent / (work * work);
        if (possible > 1)
            tilt = std::clamp((wanted - 1) / (possible - 1), 0.0, largest_tilt);
    }
    for (auto& [key, route] : state.routes) {
        const double weight = work > 0 ? mean_of(route) * sent / work : 1;
        route.canary_share = share * (1 - std::min(tilt, most_tilt) + tilt * weight);
        route.cold_part = std::clamp(least_cold_part * weight, least_cold_part, 1.0);
    }
}

void rollout_view::plan(service_state& state, helpers::time_point now) {
    if (state.planned_at && now - *state.planned_at < plan_interval)
        return;
    state.planned_at = now;
    const auto left = state.deadline - completion_lead - now;
    const auto counted = now - state.counted_since.value_or(now);
    if (left <= helpers::duration{} || counted <= helpers::duration{}) {
        for (auto& [key, route] : state.routes)
            route.has_begun = true;
        return;
    }
    duration_counts all{};
    for (const auto& [key, route] : state.routes)
        for (std::size_t i = 0; i < duration_classes; ++i)
            all[i] += route.times[i];
    std::map<route_key, route_traffic> traffic;
    for (const auto& [key, route] : state.routes) {
        const double rate =
            static_cast<double>(route.sent) / std::chrono::duration<double>(counted).count();
        traffic[key] = {rate, sum_of(route.times) < least_times ? all : route.times};
    }
    const auto credit = static_cast<double>(std::max<std::int64_t>(0, state.credit->available()));
    for (const auto& [key, lead] : plan_change_over(traffic, credit, left))
        if (lead >= left)
            state.routes[key].has_begun = true;
}

bool rollout_view::is_barred(const service_state& state, software_key software) {
    if (state.barred.contains(software))
        return true;
    return state.withdrawn.contains(software) &&
           std::any_of(state.targets.begin(), state.targets.end(), [&](const auto& each) {
               return !state.withdrawn.contains(each.software) &&
                      !state.barred.contains(each.software);
           });
}

bool rollout_view::is_allowed(service_key service, std::string_view target, software_key software,
                              side side, helpers::time_point now) const {
    const auto found = this->services.find(service);
    if (found == this->services.end())
        return true;
    const auto& state = found->second;
    if (is_barred(state, software))
        return false;
    if (!state.order)
        return true;
    const bool is_new = software == state.order->content.to;
    const auto phase = phase_of(state);
    if (is_final(phase))
        return is_new == (phase == phase::completed);
    if (!is_new)
        return side != side::new_version;
    if (is_only_version(state))
        return true;
    if (side != side::new_version || !has_lease(state, now) || !state.credit->has_credit())
        return false;
    const auto place = state.panel_places.find(target);
    return place != state.panel_places.end() && place->second < this->panel_size_at(state, now);
}

bool rollout_view::may_continue(service_key service, software_key software,
                                helpers::time_point now) const {
    const auto found = this->services.find(service);
    if (found == this->services.end())
        return true;
    const auto& state = found->second;
    if (is_barred(state, software))
        return now - state.barred_at.at(software) < stream_grace;
    if (!state.order)
        return true;
    const bool is_new = software == state.order->content.to;
    const auto phase = phase_of(state);
    if (is_final(phase))
        return is_new == (phase == phase::completed);
    return !is_new || is_only_version(state) || has_lease(state, now);
}

void rollout_view::on_sent(service_key service, route_key route, software_key software,
                           bool is_first_attempt, helpers::time_point now) {
    const auto found = this->services.find(service);
    if (found == this->services.end() || !found->second.order)
        return;
    auto& state = found->second;
    if (!state.counted_since)
        state.counted_since = now;
    if (software == state.order->content.to)
        state.credit->spend();
    if (!is_first_attempt)
        return;
    state.credit->earn();
    ++this->route_of(state, route).sent;
}

void rollout_view::set_times(service_key service, route_key route, const duration_counts& times) {
    const auto found = this->services.find(service);
    if (found != this->services.end() && found->second.order)
        this->route_of(found->second, route).times = times;
}

std::optional<rollout_view::state> rollout_view::find(service_key service,
                                                      helpers::time_point now) const {
    const auto found = this->services.find(service);
    if (found == this->services.end() || !found->second.order)
        return std::nullopt;
    const auto& given = found->second;
    return state{given.id, given.order->content.to, phase_of(given), has_lease(given, now),
                 given.credit->available()};
}

} // namespace samphirespool::rollout
