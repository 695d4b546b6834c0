// Target selection and the tracking of target load and health. The queue is in
// dispatcher_queue.cpp.
#include "gateway/dispatcher.hpp"

#include <algorithm>

namespace samphirespool::gateway {

namespace {

// Weight of a new occupancy report in the moving average over a service's targets.
constexpr double report_weight = 0.1;
// Within this time most shared prefixes are requested again and so reach a new target. Until then
// it fetches them from an older target and does not count as a prefix holder.
constexpr helpers::duration min_holder_age = std::chrono::seconds(10);
// Peer counts expire after this many exchange intervals; by then the targets' own occupancy reports
// are at least as accurate.
constexpr int peer_count_valid_intervals = 8;
constexpr std::size_t max_tracked_loads = 4096;
constexpr std::uint32_t default_slots = 1;
// A request may be assigned to a suspected target after this fraction (1/n) of its time in the
// queue, since such a target still serves some requests.
constexpr int suspected_wait_divisor = 4;
// Requests that may queue at a target other than an engine, as a multiple of its slots.
constexpr double plain_overcommit_ratio = 1.0;

} // namespace

dispatcher::dispatcher(kernel::loop& loop, kernel::random_source& random,
                       kernel::event_sink& events, discovery::target_catalog& catalog,
                       const dispatch_settings& settings)
    : loop(loop),
      random(random),
      events(events),
      catalog(catalog),
      settings(settings),
      budget(settings.retry_limits, loop.time().now()),
      cold(settings.own_name, settings.cold, loop.time().now()),
      limits(settings.own_name),
      brittle(settings.own_name),
      pacing(events, settings.own_name, settings.pacing) {}

dispatcher::~dispatcher() {
    this->loop.cancel(this->timer);
}

void dispatcher::set_members(std::vector<std::string> names) {
    this->members = std::max<std::size_t>(1, names.size());
    this->budget.set_members(this->members, this->loop.time().now());
    this->limits.set_members(names);
    this->brittle.set_members(names);
    this->pacing.set_members(names);
    this->cold.set_members(std::move(names));
}

dispatcher::service_state& dispatcher::state_of(helpers::service_id service) {
    auto& state = this->services[service];
    if (state.choice == nullptr) {
        const auto* configured = this->table ? this->table->find_service(service) : nullptr;
        const bool has_engines = configured != nullptr && configured->engine.has_value();
        state.choice = placement::target_choices::instance().make(
            has_engines ? this->settings.engine_choice : this->settings.plain_choice, this->random);
    }
    return state;
}

admission::target_load& dispatcher::load_of(const discovery::tracked_target& target) {
    return this->loads[target.serial];
}

bool dispatcher::was_tried(const dispatch_request& request,
                           const discovery::tracked_target& target) {
    return std::find(request.tried_targets.begin(), request.tried_targets.end(), target.serial) !=
           request.tried_targets.end();
}

bool dispatcher::has_room(const discovery::tracked_target& target, helpers::time_point now) {
    return this->brittle.may_send(target.registration.service, target.serial,
                                  target.registration.name,
                                  std::max(default_slots, target.registration.slots),
                                  this->load_of(target).own_requests(), now);
}

// Directly or, if the request may be passed on, through another gateway.
bool dispatcher::is_reachable(const discovery::tracked_target& target,
                              const dispatch_request& request, helpers::time_point now) {
    return !this->target_paths.is_broken(target.serial) ||
           (request.on_no_path && this->load_of(target).is_reached_by_peers(now));
}

// A stream that goes on at the version that began it belongs to no side.
bool dispatcher::is_version_allowed(const discovery::tracked_target& target,
                                    const dispatch_request& request,
                                    helpers::time_point now) const {
    if (request.software && target.software_hash != *request.software)
        return false;
    if (this->versions == nullptr)
        return true;
    return request.software ? this->versions->may_continue(target, now)
                            : this->versions->is_allowed(target, request.side, now);
}

bool dispatcher::is_usable(const discovery::tracked_target& target, const dispatch_request& request,
                           bool with_suspected, helpers::time_point now) {
    const bool is_within_pace = this->is_within_pace(target, request, now);
    if (!this->catalog.is_eligible(target) || !is_within_pace)
        return false;
    if (was_tried(request, target) || !this->is_reachable(target, request, now))
        return false;
    if (!this->is_version_allowed(target, request, now))
        return false;
    auto& load = this->load_of(target);
    if (load.is_ejected(now) || (load.is_suspected(now) && !with_suspected))
        return false;
    if (!this->limits.may_send(target.incarnation_hash, now) ||
        !this->quiet.may_send(target.incarnation_hash,
                              std::max(default_slots, target.registration.slots), now) ||
        !this->has_room(target, now))
        return false;
    if (now >= target.cold_until)
        return true;
    const auto* service =
        this->table ? this->table->find_service(target.registration.service) : nullptr;
    if (service == nullptr || service->cold_per_second <= 0)
        return true;
    return this->cold.may_send(target.registration.name, service->cold_per_second,
                               load.recent_sends(), now);
}

placement::choice_target dispatcher::candidate_for(const discovery::tracked_target& target,
                                                   double mean_peer_load, helpers::time_point now) {
    const auto& load = this->load_of(target);
    placement::choice_target candidate;
    candidate.serial = target.serial;
    candidate.name_hash = target.name_hash;
    candidate.load = load.estimate(mean_peer_load, now);
    candidate.slots = std::max(default_slots, target.registration.slots);
    candidate.slowness = this->pacing.slowness(target, now);
    candidate.prompt_backlog = load.prompt_backlog();
    candidate.same_data_centre = target.registration.data_centre == this->settings.data_centre;
    // Suspected and draining targets can still serve cached prefixes to others. A target whose
    // entry is missing has probably stopped.
    const bool is_running = !target.is_missing || this->catalog.is_eligible(target);
    candidate.can_hold_prefix = is_running && now >= target.cold_until &&
                                now - target.added_at >= min_holder_age && !load.is_on_trial();
    return candidate;
}

std::optional<placement::choice> dispatcher::choose_on_side(const dispatch_request& request) {
    auto& strategy = *this->state_of(request.service).choice;
    auto chosen =
        strategy.choose(*request.prompt, this->candidates(request, false), this->choice_context());
    const auto suspected_delay =
        (request.queue_deadline - request.submitted_at) / suspected_wait_divisor;
    if (!chosen && this->loop.time().now() - request.submitted_at >= suspected_delay)
        chosen = strategy.choose(*request.prompt, this->candidates(request, true),
                                 this->choice_context());
    return chosen;
}

std::optional<placement::choice> dispatcher::choose(dispatch_request& request) {
    auto chosen = this->choose_on_side(request);
    if (chosen || request.side != rollout::side::new_version)
        return chosen;
    // Nothing was spent for the new version yet, so that others will use the credit.
    request.side = rollout::side::old_versions;
    return this->choose_on_side(request);
}

std::vector<placement::choice_target> dispatcher::candidates(const dispatch_request& request,
                                                             bool with_suspected) {
    const auto now = this->loop.time().now();
    const auto& state = this->state_of(request.service);
    const auto* service = this->table ? this->table->find_service(request.service) : nullptr;
    const bool has_engines = service != nullptr && service->engine.has_value();
    const auto fill = has_engines ? 1.0 : 1.0 + plain_overcommit_ratio;
    std::vector<placement::choice_target> result;
    for (const auto& target : this->catalog.targets_of(request.service)) {
        auto candidate = this->candidate_for(*target, state.mean_peer_load, now);
        candidate.is_selectable = this->is_usable(*target, request, with_suspected, now) &&
                                  candidate.load < candidate.slots * fill;
        result.push_back(candidate);
    }
    return result;
}

dispatcher::assign_outcome dispatcher::try_assign(dispatch_request& request) {
    const auto targets = this->catalog.targets_of(request.service);
    if (const auto obstacle = this->find_obstacle(request))
        return *obstacle;
    const auto chosen = this->choose(request);
    // Another gateway may have slots of a brittle service to spare.
    if (!chosen && this->brittle.is_brittle(request.service))
        return assign_outcome::no_path;
    if (!chosen)
        return assign_outcome::must_wait;
    if (this->target_paths.is_broken(targets[chosen->target]->serial))
        return assign_outcome::no_path;
    assignment assigned;
    assigned.target = targets[chosen->target];
    assigned.side = request.side;
    assigned.prompt_tokens = request.prompt->tokens();
    if (chosen->prefix_holder)
        assigned.prefix_holder = this->address_of(request.service, *chosen->prefix_holder);
    const auto now = this->loop.time().now();
    assigned.sent_at = now;
    this->load_of(*assigned.target).on_sent(assigned.prompt_tokens, now);
    this->limits.on_sent(assigned.target->incarnation_hash, now);
    this->quiet.on_sent(assigned.target->incarnation_hash, now);
    this->brittle.on_sent(request.service, now);
    ++this->state_of(request.service).recent_assignments.current(now);
    request.on_assigned(std::move(assigned));
    return assign_outcome::assigned;
}

std::optional<dispatcher::assign_outcome>
dispatcher::find_obstacle(const dispatch_request& request) const {
    bool any_eligible = false;
    bool any_path = false;
    bool any_broken = false;
    for (const auto& each : this->catalog.targets_of(request.service)) {
        if (!this->catalog.is_eligible(*each) ||
            (request.software && each->software_hash != *request.software))
            continue;
        const bool is_broken = this->target_paths.is_broken(each->serial);
        any_eligible = true;
        any_broken = any_broken || is_broken;
        any_path = any_path || (!is_broken && !was_tried(request, *each));
    }
    if (!any_eligible)
        return assign_outcome::no_target;
    const auto quiet_for = this->quiet_time_left(request.service);
    if (quiet_for && this->loop.time().now() + *quiet_for > request.queue_deadline)
        return assign_outcome::all_quiet;
    return any_broken && !any_path ? std::optional(assign_outcome::no_path) : std::nullopt;
}

placement::choice_context dispatcher::choice_context() const {
    return {this->loop.time().now(),
            static_cast<double>(this->members - 1) *
                std::chrono::duration<double>(this->peer_count_interval).count()};
}

std::optional<helpers::endpoint> dispatcher::address_of(helpers::service_id service,
                                                        std::uint64_t serial) const {
    for (const auto& each : this->catalog.targets_of(service))
        if (each->serial == serial)
            return each->registration.address;
    return std::nullopt;
}

void dispatcher::on_occupancy_report(const assignment& attempt,
                                     const admission::occupancy_report& report) {
    const auto now = this->loop.time().now();
    auto& load = this->load_of(*attempt.target);
    load.apply_report(report, now);
    this->pacing.on_report(*attempt.target, report, now);
    auto& mean_peer_load = this->state_of(attempt.target->registration.service).mean_peer_load;
    mean_peer_load += report_weight * (load.peer_requests(mean_peer_load, now) - mean_peer_load);
}

void dispatcher::on_brittleness(const assignment& attempt, std::optional<std::uint32_t> limit) {
    const auto& target = attempt.target->registration;
    if (this->brittle.on_response(target.service, limit, this->loop.time().now()))
        this->events.write(kernel::severity::warning, "service.brittle", std::nullopt,
                           {{"target", target.name},
                            {"rejections_per_second", std::uint64_t{*limit}},
                            {"members", std::uint64_t{this->members}}});
}

void dispatcher::on_rejected_by_target(const assignment& attempt) {
    this->pacing.on_bad_answer(*attempt.target, this->loop.time().now());
    this->brittle.on_rejection(attempt.target->registration.service, attempt.target->serial,
                               this->loop.time().now());
}

void dispatcher::on_quiet(const assignment& attempt, helpers::duration time) {
    const auto& target = *attempt.target;
    this->quiet.on_rejection(target.incarnation_hash, time, this->loop.time().now());
    this->events.write(
        kernel::severity::warning, "target.quiet", std::nullopt,
        {{"target", target.registration.name}, {"for_ms", helpers::whole_milliseconds(time)}});
}

std::optional<helpers::duration> dispatcher::quiet_time_left(helpers::service_id service) const {
    const auto now = this->loop.time().now();
    std::optional<helpers::duration> shortest;
    for (const auto& each : this->catalog.targets_of(service)) {
        if (!this->catalog.is_eligible(*each))
            continue;
        const auto left = this->quiet.time_left(each->incarnation_hash, now);
        if (left == helpers::duration::zero())
            return std::nullopt;
        shortest = std::min(shortest.value_or(left), left);
    }
    return shortest;
}

void dispatcher::on_limit(const assignment& attempt, std::optional<double> per_second) {
    const auto& target = *attempt.target;
    if (this->limits.on_response(target.incarnation_hash, per_second, this->loop.time().now()))
        this->log_limit(target.registration.name, per_second, helpers::duration::zero());
}

void dispatcher::merge_limits(const admission::target_limit_list& received) {
    for (const auto& changed : this->limits.merge(received, this->loop.time().now()))
        for (const auto& target : this->catalog.all_targets())
            if (target->incarnation_hash == changed.incarnation_hash)
                this->log_limit(target->registration.name, changed.per_second, changed.age);
}

// An age above zero means that another gateway heard it.
void dispatcher::log_limit(const std::string& target, std::optional<double> per_second,
                           helpers::duration age) const {
    this->events.write(per_second ? kernel::severity::warning : kernel::severity::info,
                       per_second ? "target.limited" : "target.limit_ended", std::nullopt,
                       {{"target", target},
                        {"per_second", per_second.value_or(0)},
                        {"age_ms", helpers::whole_milliseconds(age)},
                        {"members", std::uint64_t{this->members}}});
}

void dispatcher::on_prompt_processed(assignment& attempt) {
    if (!std::exchange(attempt.prompt_pending, false))
        return;
    this->load_of(*attempt.target).on_prompt_read(attempt.prompt_tokens);
    const auto now = this->loop.time().now();
    this->pacing.on_answer(*attempt.target, now - attempt.sent_at, attempt.prompt_tokens, now);
}

void dispatcher::on_target_silent(const assignment& attempt) {
    this->target_paths.on_silent(attempt.target->serial);
    this->record_failure(*attempt.target);
}

void dispatcher::record_failure(const discovery::tracked_target& target) {
    this->pacing.on_bad_answer(target, this->loop.time().now());
    auto& load = this->load_of(target);
    load.record_result(true, this->loop.time().now());
    load.on_failure(this->loop.time().now());
    if (load.is_on_trial())
        this->events.write(kernel::severity::warning, "target.ejected", std::nullopt,
                           {{"target", target.registration.name},
                            {"failures", std::uint64_t{load.consecutive_failures()}}});
}

void dispatcher::record_success(const discovery::tracked_target& target) {
    auto& load = this->load_of(target);
    if (load.is_on_trial())
        this->events.write(kernel::severity::info, "target.restored", std::nullopt,
                           {{"target", target.registration.name}});
    load.record_result(false, this->loop.time().now());
    load.on_success();
}

void dispatcher::on_attempt_finished(assignment& attempt, attempt_result result) {
    if (result == attempt_result::succeeded)
        this->on_prompt_processed(attempt);
    else if (std::exchange(attempt.prompt_pending, false))
        this->load_of(*attempt.target).on_prompt_read(attempt.prompt_tokens);
    this->load_of(*attempt.target).on_finished();
    if (result == attempt_result::succeeded)
        this->record_success(*attempt.target);
    if (result == attempt_result::failed)
        this->record_failure(*attempt.target);
    if (result == attempt_result::unreachable) {
        this->load_of(*attempt.target).record_result(true, this->loop.time().now());
        this->target_paths.on_connect_failed(attempt.target->serial);
    }
    this->evict_idle_loads();
    if (!this->queue.empty())
        this->loop.post([this] { this->serve_queue(); });
}

void dispatcher::on_error_response(const discovery::tracked_target& target) {
    this->load_of(target).record_result(true, this->loop.time().now());
}

exchange::target_counts dispatcher::own_counts() const {
    const auto now = this->loop.time().now();
    exchange::target_counts result;
    for (const auto& target : this->catalog.all_targets()) {
        const auto found = this->loads.find(target->serial);
        if (found == this->loads.end())
            continue;
        const auto results = found->second.recent_results(now);
        if (found->second.own_requests() > 0 || results.total() > 0)
            result.push_back({target->incarnation_hash, found->second.own_requests(), results, {}});
    }
    return result;
}

void dispatcher::set_peer_counts(const exchange::target_counts& peer_counts,
                                 std::uint32_t max_unlisted_in_flight, helpers::duration interval) {
    const auto now = this->loop.time().now();
    this->peer_count_interval = interval;
    const auto valid_until = now + interval * peer_count_valid_intervals;
    counts_by_incarnation counts;
    bool any_failed = false;
    for (const auto& each : peer_counts) {
        counts[each.incarnation_hash] = each;
        any_failed = any_failed || each.results.failures > 0;
    }
    for (const auto& target : this->catalog.all_targets()) {
        const auto found = counts.find(target->incarnation_hash);
        auto& load = this->load_of(*target);
        load.set_peer_requests(found == counts.end() ? max_unlisted_in_flight / 2
                                                     : found->second.in_flight,
                               valid_until);
        load.set_fleet_successes(found == counts.end() ? 0 : found->second.results.responses,
                                 this->target_paths.is_broken(target->serial), now);
    }
    this->update_pace(counts, max_unlisted_in_flight);
    if (any_failed)
        for (const auto& [service, state] : this->services)
            this->suspect_outliers(service, counts);
}

void dispatcher::suspect_outliers(helpers::service_id service,
                                  const counts_by_incarnation& counts) {
    const auto now = this->loop.time().now();
    const auto targets = this->catalog.targets_of(service);
    std::vector<admission::target_results> evidence(targets.size());
    for (std::size_t i = 0; i < targets.size(); ++i)
        if (const auto found = counts.find(targets[i]->incarnation_hash); found != counts.end())
            evidence[i] = {found->second.same_data_centre, found->second.results};
    for (const auto index : admission::find_outliers(evidence)) {
        auto& load = this->load_of(*targets[index]);
        if (!load.suspect(now))
            continue;
        ++this->suspicion_count;
        const auto& outlier = evidence[index];
        this->events.write(kernel::severity::warning, "target.suspected", std::nullopt,
                           {{"target", targets[index]->registration.name},
                            {"failures", std::uint64_t{outlier.fleet.failures}},
                            {"answers", std::uint64_t{outlier.fleet.responses}},
                            {"near_failures", std::uint64_t{outlier.same_data_centre.failures}},
                            {"near_answers", std::uint64_t{outlier.same_data_centre.responses}},
                            {"for_ms", helpers::whole_milliseconds(load.suspicion_end() - now)}});
    }
}

void dispatcher::evict_idle_loads() {
    if (this->loads.size() <= max_tracked_loads)
        return;
    std::erase_if(this->loads, [](const auto& entry) { return entry.second.own_requests() == 0; });
}

} // namespace samphirespool::gateway
