// Assigns targets, at once or from the queue.
#include "gateway/dispatcher.hpp"

#include <algorithm>

namespace samphirespool::gateway {

namespace {

// How often the queue is looked at while no event frees a target; reports age meanwhile.
constexpr helpers::duration queue_interval = std::chrono::milliseconds(15);
// Waiting requests that find no target before the rest is left for later, as those behind want
// mostly the same targets.
constexpr int most_misses = 6;
// Weight of a new report in the mean over a service's targets.
constexpr double report_weight = 0.1;
// In this time most parts of prompts are asked for again and come to a new target; until then it
// fetches them from an older one.
constexpr helpers::duration newness = std::chrono::seconds(10);
// Sums that are this many intervals old are worth no more than the targets' own reports.
constexpr int exchange_intervals = 8;
constexpr std::size_t loads_kept = 4096;
constexpr std::uint32_t default_slots = 1;
// An output token takes a step of the engine; prompts are read many tokens at a time.
constexpr std::uint64_t output_token_cost = 10;
// Part of its wait after which a request takes a target that the fleet suspects: it serves some.
constexpr int suspected_after_fraction = 4;
// A queue as short as this may empty at any moment.
constexpr std::uint32_t short_queue = 4;
// Since then requests have waited if the rate at which they get targets is that of full targets.
constexpr helpers::duration standing_queue = std::chrono::milliseconds(500);
// Requests that may wait at a plain target beyond its slots, as parts of the slots.
constexpr double plain_overfill = 1.0;

std::uint64_t cost_of(const placement::prompt& wanted) {
    return wanted.tokens() + wanted.output_tokens * output_token_cost;
}

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
    view.is_holder =
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
        view.is_free =
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
    if (chosen->holder)
        made.holder = this->address_of(wanted.service, *chosen->holder);
    const auto now = this->loop.time().now();
    this->load_of(*made.target).sent(made.prompt_tokens, now);
    ++this->state_of(wanted.service).assigned.at(now);
    wanted.assigned(std::move(made));
    return verdict::assigned;
}

placement::choice_pace dispatcher::pace() const {
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

dispatcher::ticket_id dispatcher::ask(dispatch_ticket wanted) {
    wanted.asked_at = this->loop.time().now();
    switch (this->try_assign(wanted)) {
    case verdict::assigned:
        return 0;
    case verdict::none_exists:
        wanted.refused({kernel::error_kind::no_target, "no target of the service takes work"});
        return 0;
    case verdict::wait:
        break;
    }
    if (this->queue.size() >= this->settings.max_waiting) {
        wanted.refused({kernel::error_kind::queue_full, "too many requests wait"});
        return 0;
    }
    const auto id = ++this->last_ticket;
    const auto start =
        this->turns.start_of(wanted.priority, wanted.organisation, cost_of(*wanted.prompt));
    const queue_key place{wanted.priority, false, start, id};
    if (this->is_hopeless(wanted, place)) {
        wanted.refused({kernel::error_kind::queue_full, "no target will become free in time"});
        return 0;
    }
    this->queue.emplace(place, std::move(wanted));
    if (this->timer == 0)
        this->timer = this->loop.schedule(queue_interval, [this] { this->tick(); });
    return id;
}

bool dispatcher::is_hopeless(const dispatch_ticket& wanted, const queue_key& place) {
    const auto now = this->loop.time().now();
    std::uint32_t before = 0;
    auto oldest = now;
    for (const auto& [key, waiting] : this->queue) {
        if (waiting.service != wanted.service)
            continue;
        oldest = std::min(oldest, waiting.asked_at);
        before += key < place ? 1 : 0;
    }
    if (before <= short_queue || now - oldest < standing_queue)
        return false;
    const std::chrono::duration<double> patience = wanted.wait_until - now;
    const std::chrono::duration<double> window = rate_window;
    const auto rate = this->state_of(wanted.service).assigned.sum(now) / window.count();
    return before > rate * patience.count();
}

void dispatcher::withdraw(ticket_id id) {
    std::erase_if(this->queue, [id](const auto& entry) { return entry.first.id == id; });
}

void dispatcher::put_late_ones_last(helpers::time_point now) {
    for (auto next = this->queue.begin(); next != this->queue.end();) {
        const auto current = next++;
        if (current->first.is_late || now < current->second.prompt_until)
            continue;
        auto node = this->queue.extract(current);
        node.key().is_late = true;
        this->queue.insert(std::move(node));
    }
}

void dispatcher::serve_waiting() {
    if (this->serving)
        return;
    this->serving = true;
    const auto now = this->loop.time().now();
    this->put_late_ones_last(now);
    std::unordered_map<helpers::service_id, int> misses;
    for (auto next = this->queue.begin(); next != this->queue.end();) {
        const auto key = next->first;
        auto node = this->queue.extract(next);
        auto& wanted = node.mapped();
        if (now >= wanted.wait_until) {
            wanted.refused({kernel::error_kind::queue_full, "no target became free in time"});
        } else if (misses[wanted.service] >= most_misses) {
            this->queue.insert(std::move(node));
        } else if (this->try_assign(wanted) != verdict::assigned) {
            ++misses[wanted.service];
            this->queue.insert(std::move(node));
        } else {
            this->turns.served(key.priority, key.start);
        }
        next = this->queue.upper_bound(key);
    }
    this->serving = false;
}

void dispatcher::tick() {
    this->timer = 0;
    this->serve_waiting();
    if (!this->queue.empty() && this->timer == 0)
        this->timer = this->loop.schedule(queue_interval, [this] { this->tick(); });
}

void dispatcher::on_load(const assignment& at, const admission::load_report& report) {
    const auto now = this->loop.time().now();
    auto& load = this->load_of(*at.target);
    load.report(report, now);
    auto& usual = this->state_of(at.target->facts.service).usual;
    usual += report_weight * (load.others(usual, now) - usual);
}

void dispatcher::on_prompt_done(assignment& at) {
    if (!std::exchange(at.prompt_pending, false))
        return;
    this->load_of(*at.target).prompt_done(at.prompt_tokens);
}

void dispatcher::on_suspicion(const assignment& at) {
    this->note_failure(*at.target);
}

void dispatcher::note_failure(const discovery::known_target& target) {
    auto& load = this->load_of(target);
    load.note_result(true, this->loop.time().now());
    load.failed(this->loop.time().now());
    if (load.is_on_trial())
        this->events.write(
            kernel::severity::warning, "target.ejected", std::nullopt,
            {{"target", target.facts.name}, {"failures", std::uint64_t{load.failures_in_a_row()}}});
}

void dispatcher::note_success(const discovery::known_target& target) {
    auto& load = this->load_of(target);
    if (load.is_on_trial())
        this->events.write(kernel::severity::info, "target.restored", std::nullopt,
                           {{"target", target.facts.name}});
    load.note_result(false, this->loop.time().now());
    load.succeeded();
}

void dispatcher::on_ended(assignment& at, result how) {
    this->on_prompt_done(at);
    this->load_of(*at.target).ended();
    if (how == result::succeeded)
        this->note_success(*at.target);
    if (how == result::failed)
        this->note_failure(*at.target);
    this->forget_old_loads();
    if (!this->queue.empty())
        this->loop.post([this] { this->serve_waiting(); });
}

void dispatcher::on_error_answer(const discovery::known_target& target) {
    this->load_of(target).note_result(true, this->loop.time().now());
}

exchange::target_counts dispatcher::own_counts() const {
    const auto now = this->loop.time().now();
    exchange::target_counts result;
    for (const auto& target : this->catalog.all()) {
        const auto found = this->loads.find(target->serial);
        if (found == this->loads.end())
            continue;
        const auto results = found->second.recent_results(now);
        if (found->second.own() > 0 || results.total() > 0)
            result.push_back({target->life_hash, found->second.own(), results, {}});
    }
    return result;
}

void dispatcher::set_others(const exchange::target_counts& others, std::uint32_t unlisted_at_most,
                            helpers::duration interval) {
    const auto now = this->loop.time().now();
    this->exchange_interval = interval;
    const auto valid_until = now + interval * exchange_intervals;
    counts_by_life counts;
    bool any_failed = false;
    for (const auto& each : others) {
        counts[each.target] = each;
        any_failed = any_failed || each.results.failures > 0;
    }
    for (const auto& target : this->catalog.all()) {
        const auto found = counts.find(target->life_hash);
        this->load_of(*target).set_others(
            found == counts.end() ? unlisted_at_most / 2 : found->second.requests, valid_until);
    }
    if (any_failed)
        for (const auto& [service, state] : this->services)
            this->suspect_outliers(service, counts);
}

void dispatcher::suspect_outliers(helpers::service_id service, const counts_by_life& counts) {
    const auto now = this->loop.time().now();
    const auto targets = this->catalog.targets_of(service);
    std::vector<admission::target_evidence> evidence(targets.size());
    for (std::size_t i = 0; i < targets.size(); ++i)
        if (const auto found = counts.find(targets[i]->life_hash); found != counts.end())
            evidence[i] = {found->second.near, found->second.results};
    for (const auto index : admission::find_outliers(evidence)) {
        auto& load = this->load_of(*targets[index]);
        if (!load.suspect(now))
            continue;
        ++this->suspicion_count;
        const auto& seen = evidence[index];
        this->events.write(kernel::severity::warning, "target.suspected", std::nullopt,
                           {{"target", targets[index]->facts.name},
                            {"failures", std::uint64_t{seen.all.failures}},
                            {"answers", std::uint64_t{seen.all.answers}},
                            {"near_failures", std::uint64_t{seen.near.failures}},
                            {"near_answers", std::uint64_t{seen.near.answers}},
                            {"for_ms", helpers::whole_milliseconds(load.suspicion_end() - now)}});
    }
}

void dispatcher::forget_old_loads() {
    if (this->loads.size() <= loads_kept)
        return;
    std::erase_if(this->loads, [](const auto& entry) { return entry.second.own() == 0; });
}

} // namespace samphirespool::gateway
