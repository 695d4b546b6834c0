// Assigns targets; keeps what is known of each. The queue is in dispatcher_queue.cpp.
#include "gateway/dispatcher.hpp"

#include <algorithm>

namespace samphirespool::gateway {

namespace {

// Weight of a new report in the mean over a service's targets.
constexpr double report_weight = 0.1;
// In this time most parts of prompts are asked for again and come to a new target; until then it
// fetches them from an older one.
constexpr helpers::duration newness = std::chrono::seconds(10);
// Sums that are this many intervals old are worth no more than the targets' own reports.
constexpr int exchange_intervals = 8;
constexpr std::size_t loads_kept = 4096;
constexpr std::uint32_t default_slots = 1;
// Part of its wait after which a request takes a target that the fleet suspects: it serves some.
constexpr int suspected_after_fraction = 4;
// Requests that may wait at a plain target beyond its slots, as parts of the slots.
constexpr double plain_overfill = 1.0;

} // namespace

dispatcher::dispatcher(kernel::loop& loop, kernel::random_source& random,
                       kernel::event_sink& events, discovery::target_catalog& catalog,
                       const dispatch_settings& settings)
    : loop(loop),
      random(random),
      events(events),
      catalog(catalog),
      settings(settings),
      budget(settings.repeats),
      cold(settings.self, settings.cold) {
    this->cold.set_members({settings.self});
}

dispatcher::~dispatcher() {
    this->loop.cancel(this->timer);
}

void dispatcher::set_members(std::vector<std::string> names) {
    this->members = std::max<std::size_t>(1, names.size());
    this->budget.set_fleet_size(this->members);
    this->cold.set_members(std::move(names));
}

dispatcher::service_state& dispatcher::state_of(helpers::service_id service) {
    auto& state = this->services[service];
    if (state.choice == nullptr) {
        const auto* known = this->table ? this->table->find_service(service) : nullptr;
        const bool has_engines = known != nullptr && known->engine.has_value();
        state.choice = placement::target_choices::instance().make(
            has_engines ? this->settings.engine_choice : this->settings.plain_choice, this->random);
    }
    return state;
}

admission::target_load& dispatcher::load_of(const discovery::known_target& target) {
    return this->loads[target.serial];
}

bool dispatcher::may_take(const discovery::known_target& target, const dispatch_ticket& wanted,
                          bool with_suspected, helpers::time_point now) {
    if (!this->catalog.may_get_work(target))
        return false;
    if (std::find(wanted.tried.begin(), wanted.tried.end(), target.serial) != wanted.tried.end())
        return false;
    auto& load = this->load_of(target);
    if (load.is_ejected(now) || (load.is_suspected(now) && !with_suspected))
        return false;
    if (now >= target.cold_until)
        return true;
    const auto* service = this->table ? this->table->find_service(target.facts.service) : nullptr;
    if (service == nullptr || service->cold_per_second <= 0)
        return true;
    return this->cold.may_send(target.facts.name, service->cold_per_second, load.recent_sends(),
                               now);
}

placement::choice_target dispatcher::view_of(const discovery::known_target& target, double usual,
                                             helpers::time_point now) {
    const auto& load = this->load_of(target);
    placement::choice_target view;
    view.serial = target.serial;
    view.name_hash = target.name_hash;
    view.load = load.estimate(usual, now);
    view.slots = std::max(default_slots, target.facts.slots);
    view.prompt_backlog = load.prompt_backlog();
    view.same_data_centre = target.facts.data_centre == this->settings.data_centre;
    // Grey targets still hand out parts.
    view.can_hold_prefix =
        now >= target.cold_until && now - target.added_at >= newness && !load.is_on_trial();
    return view;
}

std::optional<placement::choice> dispatcher::choose(const dispatch_ticket& wanted) {
    auto& strategy = *this->state_of(wanted.service).choice;
    auto chosen = strategy.choose(*wanted.prompt, this->candidates(wanted, false), this->pace());
    const auto patience = (wanted.wait_until - wanted.asked_at) / suspected_after_fraction;
    if (!chosen && this->loop.time().now() - wanted.asked_at >= patience)
        chosen = strategy.choose(*wanted.prompt, this->candidates(wanted, true), this->pace());
    return chosen;
}

std::vector<placement::choice_target> dispatcher::candidates(const dispatch_ticket& wanted,
                                                             bool with_suspected) {
    const auto now = this->loop.time().now();
    const auto& state = this->state_of(wanted.service);
    const auto* service = this->table ? this->table->find_service(wanted.service) : nullptr;
    const bool has_engines = service != nullptr && service->engine.has_value();
    const auto fill = has_engines ? 1.0 : 1.0 + plain_overfill;
    std::vector<placement::choice_target> result;
    for (const auto& target : this->catalog.targets_of(wanted.service)) {
        auto view = this->view_of(*target, state.usual, now);
        view.is_selectable =
            this->may_take(*target, wanted, with_suspected, now) && view.load < view.slots * fill;
        result.push_back(view);
    }
    return result;
}

dispatcher::verdict dispatcher::try_assign(dispatch_ticket& wanted) {
    const auto all = this->catalog.targets_of(wanted.service);
    const bool any = std::any_of(all.begin(), all.end(), [this](const auto& each) {
        return this->catalog.may_get_work(*each);
    });
    if (!any)
        return verdict::none_exists;
    const auto chosen = this->choose(wanted);
    if (!chosen)
        return verdict::wait;
    assignment made;
    made.target = all[chosen->target];
    made.prompt_tokens = wanted.prompt->tokens();
    if (chosen->prefix_holder)
        made.holder = this->address_of(wanted.service, *chosen->prefix_holder);
    const auto now = this->loop.time().now();
    this->load_of(*made.target).on_sent(made.prompt_tokens, now);
    ++this->state_of(wanted.service).assigned.current(now);
    wanted.assigned(std::move(made));
    return verdict::assigned;
}

placement::choice_context dispatcher::pace() const {
    return {this->loop.time().now(),
            static_cast<double>(this->members - 1) *
                std::chrono::duration<double>(this->exchange_interval).count()};
}

std::optional<helpers::endpoint> dispatcher::address_of(helpers::service_id service,
                                                        std::uint64_t serial) const {
    for (const auto& each : this->catalog.targets_of(service))
        if (each->serial == serial)
            return each->facts.address;
    return std::nullopt;
}

void dispatcher::on_load(const assignment& at, const admission::occupancy_report& report) {
    const auto now = this->loop.time().now();
    auto& load = this->load_of(*at.target);
    load.apply_report(report, now);
    auto& usual = this->state_of(at.target->facts.service).usual;
    usual += report_weight * (load.peer_requests(usual, now) - usual);
}

void dispatcher::on_prompt_done(assignment& at) {
    if (!std::exchange(at.prompt_pending, false))
        return;
    this->load_of(*at.target).on_prompt_read(at.prompt_tokens);
}

void dispatcher::on_suspicion(const assignment& at) {
    this->note_failure(*at.target);
}

void dispatcher::note_failure(const discovery::known_target& target) {
    auto& load = this->load_of(target);
    load.record_result(true, this->loop.time().now());
    load.on_failure(this->loop.time().now());
    if (load.is_on_trial())
        this->events.write(kernel::severity::warning, "target.ejected", std::nullopt,
                           {{"target", target.facts.name},
                            {"failures", std::uint64_t{load.consecutive_failures()}}});
}

void dispatcher::note_success(const discovery::known_target& target) {
    auto& load = this->load_of(target);
    if (load.is_on_trial())
        this->events.write(kernel::severity::info, "target.restored", std::nullopt,
                           {{"target", target.facts.name}});
    load.record_result(false, this->loop.time().now());
    load.on_success();
}

void dispatcher::on_ended(assignment& at, result how) {
    this->on_prompt_done(at);
    this->load_of(*at.target).on_finished();
    if (how == result::succeeded)
        this->note_success(*at.target);
    if (how == result::failed)
        this->note_failure(*at.target);
    this->forget_old_loads();
    if (!this->queue.empty())
        this->loop.post([this] { this->serve_waiting(); });
}

void dispatcher::on_error_answer(const discovery::known_target& target) {
    this->load_of(target).record_result(true, this->loop.time().now());
}

exchange::target_counts dispatcher::own_counts() const {
    const auto now = this->loop.time().now();
    exchange::target_counts result;
    for (const auto& target : this->catalog.all()) {
        const auto found = this->loads.find(target->serial);
        if (found == this->loads.end())
            continue;
        const auto results = found->second.recent_results(now);
        if (found->second.own_requests() > 0 || results.total() > 0)
            result.push_back({target->life_hash, found->second.own_requests(), results, {}});
    }
    return result;
}

void dispatcher::set_others(const exchange::target_counts& others,
                            std::uint32_t max_unlisted_in_flight, helpers::duration interval) {
    const auto now = this->loop.time().now();
    this->exchange_interval = interval;
    const auto valid_until = now + interval * exchange_intervals;
    counts_by_life counts;
    bool any_failed = false;
    for (const auto& each : others) {
        counts[each.incarnation_hash] = each;
        any_failed = any_failed || each.results.failures > 0;
    }
    for (const auto& target : this->catalog.all()) {
        const auto found = counts.find(target->life_hash);
        this->load_of(*target).set_peer_requests(found == counts.end() ? max_unlisted_in_flight / 2
                                                                       : found->second.in_flight,
                                                 valid_until);
    }
    if (any_failed)
        for (const auto& [service, state] : this->services)
            this->suspect_outliers(service, counts);
}

void dispatcher::suspect_outliers(helpers::service_id service, const counts_by_life& counts) {
    const auto now = this->loop.time().now();
    const auto targets = this->catalog.targets_of(service);
    std::vector<admission::target_results> evidence(targets.size());
    for (std::size_t i = 0; i < targets.size(); ++i)
        if (const auto found = counts.find(targets[i]->life_hash); found != counts.end())
            evidence[i] = {found->second.same_data_centre, found->second.results};
    for (const auto index : admission::find_outliers(evidence)) {
        auto& load = this->load_of(*targets[index]);
        if (!load.suspect(now))
            continue;
        ++this->suspicion_count;
        const auto& seen = evidence[index];
        this->events.write(kernel::severity::warning, "target.suspected", std::nullopt,
                           {{"target", targets[index]->facts.name},
                            {"failures", std::uint64_t{seen.fleet.failures}},
                            {"answers", std::uint64_t{seen.fleet.responses}},
                            {"near_failures", std::uint64_t{seen.own_data_centre.failures}},
                            {"near_answers", std::uint64_t{seen.own_data_centre.responses}},
                            {"for_ms", helpers::whole_milliseconds(load.suspicion_end() - now)}});
    }
}

void dispatcher::forget_old_loads() {
    if (this->loads.size() <= loads_kept)
        return;
    std::erase_if(this->loads, [](const auto& entry) { return entry.second.own_requests() == 0; });
}

} // namespace samphirespool::gateway
