// Handles requests from arrival to outcome.
#include "bench/placement/replay/simulation.hpp"

#include "placement/chat_key.hpp"

#include <algorithm>

namespace samphirespool::replay {

namespace {

// Time within which an operator's mark must reach every router.
constexpr double mark_propagation_seconds = 4;
constexpr double churn_seconds = 60;
constexpr double grant_seconds = 1;

} // namespace

simulation::simulation(const trace& replayed_trace, std::span<const arrival> arrivals,
                       simulation_options options)
    : replayed_trace(replayed_trace),
      arrivals(arrivals),
      options(std::move(options)),
      fleet(replayed_trace, this->options.create_strategy, this->options.load_multiple),
      random(replayed_trace.seed),
      budgets(replayed_trace.routers),
      queues(replayed_trace.routers, routed_queues(replayed_trace.services.size())),
      reservations_waiting(replayed_trace.routers,
                           std::vector<std::size_t>(replayed_trace.services.size())),
      waiters(replayed_trace.services.size(),
              std::vector<std::vector<waiter>>(replayed_trace.regions)),
      drained_at(replayed_trace.data_centres, 0) {}

replay_counts simulation::run() {
    for (std::size_t i = 0; i < this->replayed_trace.events.size(); ++i)
        this->schedule(this->replayed_trace.events[i].at_seconds,
                       {.kind = event_kind::traced, .subject = i});
    this->schedule(1, {.kind = event_kind::second});
    std::size_t next = 0;
    while (next < this->arrivals.size() || !this->live_requests.empty()) {
        const bool arrives =
            next < this->arrivals.size() &&
            (this->events.empty() || this->arrivals[next].at_seconds <= this->events.top().at);
        if (arrives) {
            this->now = this->arrivals[next].at_seconds;
            this->arrive(this->arrivals[next++]);
            continue;
        }
        const auto due = this->events.top();
        this->events.pop();
        this->now = due.at;
        this->handle(due);
    }
    return std::move(this->counts);
}

void simulation::schedule(double at, event scheduled) {
    scheduled.at = at;
    scheduled.order = ++this->event_order;
    this->events.push(std::move(scheduled));
}

admission::target_ledger& simulation::ledger_of(const live_request& one) {
    return this->fleet.ledger(one.trace_request->service, this->region_of(*one.trace_request));
}

void simulation::arrive(const arrival& next) {
    ++this->counts.requests;
    request::request_traits traits;
    traits.deadline = to_time(next.at_seconds + this->replayed_trace.deadline_seconds);
    const auto number = ++this->last_request;
    this->live_requests.emplace(number, live_request{&next, {traits, this->budgets[next.router]}});
    admission::queued_request waiting;
    waiting.request.sequence = number;
    waiting.organisation = {next.organisation};
    waiting.cost_tokens = next.cost();
    waiting.deadline = traits.deadline;
    const auto pushed =
        this->queues[next.router][next.service].push(waiting, to_time(next.at_seconds));
    if (pushed.displaced)
        this->finish_request(pushed.displaced->request.sequence,
                             this->live_requests.at(pushed.displaced->request.sequence)
                                 .state.abort(kernel::error_kind::queue_full));
    if (!pushed.accepted)
        this->finish_request(number, this->live_requests.at(number).state.abort(pushed.rejection));
    this->dispatch_queue(next.router, next.service);
}

void simulation::dispatch_queue(std::uint32_t router, std::uint32_t service) {
    auto& waiting = this->reservations_waiting[router][service];
    while (waiting < this->options.max_waiting_per_router) {
        const auto popped = this->queues[router][service].pop();
        if (!popped)
            return;
        const auto number = popped->request.sequence;
        auto& popped_request = this->live_requests.at(number);
        popped_request.from_backlog = this->options.limit_backlog_slots &&
                                      this->queues[router][service].size(popped->organisation) > 0;
        const auto made = popped_request.state.on_dequeued(to_time(this->now));
        if (made.next == request::action::finish)
            this->finish_request(number, made);
        else
            this->reserve(number);
    }
}

std::optional<helpers::target_id>
simulation::try_candidates(live_request& pending, std::size_t wanted,
                           std::vector<helpers::target_id>& candidates) {
    const auto& trace_request = *pending.trace_request;
    auto& service_view = this->fleet.view_of(trace_request.router)
                             .service_views[trace_request.service][this->region_of(trace_request)];
    auto& ledger = this->ledger_of(pending);
    for (auto& target : service_view.targets)
        target.load = static_cast<double>(ledger.outstanding_tokens(target.id));
    this->fleet.set_current_request(&trace_request);
    this->ranked.clear();
    candidates.clear();
    const auto region =
        service_view.targets.empty() ? helpers::region_id{} : service_view.targets.front().region;
    service_view.strategy->rank({trace_request.key, {}, region, wanted}, service_view.targets,
                                this->random, this->ranked);
    for (const auto index : this->ranked)
        if (pending.state.may_use(service_view.targets[index].id))
            candidates.push_back(service_view.targets[index].id);
    const auto hints = this->hints_of(pending);
    return ledger.try_reserve(candidates, trace_request.cost(), to_time(this->now), hints);
}

admission::reservation_hints simulation::hints_of(const live_request& pending) const {
    admission::reservation_hints hints;
    if (this->options.use_key_hints && pending.trace_request->key != placement::no_chat)
        hints = {pending.trace_request->key, {pending.trace_request->chat}};
    hints.from_backlog = pending.from_backlog;
    return hints;
}

void simulation::reserve(std::uint64_t number) {
    auto& pending = this->live_requests.at(number);
    std::vector<helpers::target_id> candidates;
    while (true) {
        auto granted = this->try_candidates(pending, this->options.max_candidates, candidates);
        const auto all = this->fleet.targets_of(pending.trace_request->service);
        if (!granted && this->options.retry_with_all_targets && all > this->options.max_candidates)
            granted = this->try_candidates(pending, all, candidates);
        if (!granted) {
            ++this->reservations_waiting[pending.trace_request->router]
                                        [pending.trace_request->service];
            this->waiters[pending.trace_request->service][this->region_of(*pending.trace_request)]
                .push_back({number, std::move(candidates)});
            return;
        }
        pending.state.on_granted(*granted, to_time(this->now + grant_seconds));
        if (this->fleet.engine_at(this->fleet.place_of(*granted)).running) {
            this->send(number, *granted);
            return;
        }
        const auto failed = pending.state.on_connect_failed(to_time(this->now));
        this->ledger_of(pending).finish(*granted, pending.trace_request->cost(),
                                        admission::release::result::not_sent, {},
                                        to_time(this->now));
        if (failed.next == request::action::finish) {
            this->finish_request(number, failed);
            return;
        }
    }
}

void simulation::record_admission(const live_request& sent, helpers::target_id target) {
    auto& ledger =
        this->fleet.ledger(sent.trace_request->service, this->region_of(*sent.trace_request));
    const auto before = ledger.outstanding_tokens(target) - sent.trace_request->cost();
    if (ledger.warm(target) && before > 0)
        this->counts.highest_load =
            std::max(this->counts.highest_load, static_cast<double>(before) / ledger.mean_load());
    const auto centre = this->fleet.data_centre_of(sent.target);
    if (this->fleet.is_drained(centre)) {
        const bool late = this->now > this->drained_at[centre] + mark_propagation_seconds;
        ++(late ? this->counts.to_drained_late : this->counts.to_drained_early);
    }
    const auto& target_engine = this->fleet.engine_at(sent.target);
    const auto& shape = this->replayed_trace.services[sent.trace_request->service];
    if (target_engine.cold_requests > 0 && target_engine.in_flight > shape.cold_allowance)
        ++this->counts.cold_overloads;
}

void simulation::send(std::uint64_t number, helpers::target_id target) {
    auto& sent = this->live_requests.at(number);
    sent.state.on_connected(to_time(this->now));
    sent.target = this->fleet.place_of(target);
    auto& target_engine = this->fleet.engine_at(sent.target);
    const auto cached = target_engine.cache.cached_tokens(*sent.trace_request);
    target_engine.cache.insert(*sent.trace_request);
    ++target_engine.in_flight;
    target_engine.tokens += sent.trace_request->cost();
    sent.time = estimate_service_time(*sent.trace_request, cached, target_engine.cold_requests > 0);
    sent.sent_at = this->now;
    sent.sent = true;
    ++sent.attempts;
    this->record_admission(sent, target);
    this->counts.prompt_tokens += sent.trace_request->prompt_tokens();
    this->counts.cached_tokens += cached;
    if (this->now < this->last_churn + churn_seconds) {
        this->counts.churn_prompt_tokens += sent.trace_request->prompt_tokens();
        this->counts.churn_cached_tokens += cached;
    }
    const auto wait = this->now - sent.trace_request->at_seconds;
    auto& first_bytes = sent.trace_request->surging ? this->counts.surge_first_bytes
                                                    : this->counts.quiet_first_bytes;
    if (sent.attempts == 1)
        first_bytes.push_back(wait + sent.time.first_byte);
    if (sent.attempts == 1 && !sent.trace_request->surging) {
        this->counts.quiet_waits.push_back(wait);
        if (this->replayed_trace.surges_at(sent.trace_request->at_seconds))
            this->counts.quiet_during_surge.push_back(wait + sent.time.first_byte);
    }
    this->schedule(this->now + sent.time.whole,
                   {.kind = event_kind::finish, .subject = number, .attempt = sent.attempts});
}

void simulation::finish_attempt(std::uint64_t number, std::uint32_t attempt) {
    const auto found = this->live_requests.find(number);
    if (found == this->live_requests.end() || found->second.attempts != attempt ||
        !found->second.sent)
        return;
    auto& ended = found->second;
    auto& target_engine = this->fleet.engine_at(ended.target);
    --target_engine.in_flight;
    target_engine.tokens -= ended.trace_request->cost();
    if (target_engine.cold_requests > 0)
        --target_engine.cold_requests;
    const auto first_byte = std::chrono::duration_cast<helpers::duration>(
        std::chrono::duration<double>(ended.time.first_byte));
    this->ledger_of(ended).finish(this->fleet.id_of(ended.target), ended.trace_request->cost(),
                                  admission::release::result::success, first_byte,
                                  to_time(this->now));
    const auto service = ended.trace_request->service;
    const auto region = this->region_of(*ended.trace_request);
    this->finish_request(number, ended.state.on_completed());
    this->retry_waiters(service, region);
}

void simulation::finish_request(std::uint64_t number, const request::decision& made) {
    const std::array outcome_counters{&replay_counts::answered, &replay_counts::not_run,
                                      &replay_counts::unknown};
    ++(this->counts.*outcome_counters.at(static_cast<std::size_t>(made.outcome)));
    if (made.outcome == kernel::request_outcome::not_run &&
        !this->live_requests.at(number).trace_request->surging)
        ++this->counts.quiet_not_run;
    this->live_requests.erase(number);
}

void simulation::fail_engine(target_place place) {
    std::vector<std::uint64_t> affected;
    for (const auto& [number, each] : this->live_requests)
        if (each.sent && each.target.service == place.service && each.target.number == place.number)
            affected.push_back(number);
    std::ranges::sort(affected);
    auto& target_engine = this->fleet.engine_at(place);
    target_engine.in_flight = 0;
    target_engine.tokens = 0;
    for (const auto number : affected) {
        auto& failed = this->live_requests.at(number);
        failed.sent = false;
        const auto made = failed.state.on_attempt_failed(false, to_time(this->now));
        this->ledger_of(failed).finish(this->fleet.id_of(place), failed.trace_request->cost(),
                                       admission::release::result::failure, {}, to_time(this->now));
        if (made.next == request::action::finish) {
            this->finish_request(number, made);
            continue;
        }
        ++this->counts.retries;
        this->reserve(number);
    }
}

void simulation::retry_waiters(std::uint32_t service, std::uint32_t region) {
    auto waiting = std::move(this->waiters[service][region]);
    this->waiters[service][region].clear();
    auto& ledger = this->fleet.ledger(service, region);
    std::vector<waiter> remaining;
    for (auto& each : waiting) {
        const auto found = this->live_requests.find(each.request);
        if (found == this->live_requests.end())
            continue;
        auto& pending = found->second;
        const auto router = pending.trace_request->router;
        const auto release_waiting_slot = [&] { --this->reservations_waiting[router][service]; };
        if (to_time(this->now) >= pending.state.traits().deadline) {
            release_waiting_slot();
            this->finish_request(each.request,
                                 pending.state.abort(kernel::error_kind::deadline_exceeded));
            this->dispatch_queue(router, service);
            continue;
        }
        const auto granted = ledger.try_reserve(each.candidates, pending.trace_request->cost(),
                                                to_time(this->now), this->hints_of(pending));
        if (!granted) {
            remaining.push_back(std::move(each));
            continue;
        }
        // The grant is returned and the request placed on the same path as a new reservation.
        ledger.finish(*granted, pending.trace_request->cost(), admission::release::result::not_sent,
                      {}, to_time(this->now));
        release_waiting_slot();
        this->reserve(each.request);
        this->dispatch_queue(router, service);
    }
    auto& list = this->waiters[service][region];
    list.insert(list.begin(), std::make_move_iterator(remaining.begin()),
                std::make_move_iterator(remaining.end()));
}

} // namespace samphirespool::replay
