// One request's way through the replay.
#include "bench/placement/replay/simulation.hpp"

#include "placement/chat_key.hpp"

#include <algorithm>

namespace samphirespool::replay {

namespace {

// An operator's mark must have reached every router by then.
constexpr double known_everywhere_seconds = 4;
constexpr double churn_seconds = 60;
constexpr double grant_seconds = 1;

} // namespace

simulation::simulation(const trace& from, std::span<const arrival> arrivals,
                       simulation_options options)
    : from(from),
      arrivals(arrivals),
      options(std::move(options)),
      fleet(from, this->options.make, this->options.load_multiple),
      random(from.seed),
      budgets(from.routers),
      queues(from.routers, routed_queues(from.services.size())),
      reservations_waiting(from.routers, std::vector<std::size_t>(from.services.size())),
      waiters(from.services.size(), std::vector<std::vector<waiter>>(from.regions)),
      left_at(from.data_centres, 0) {}

tallies simulation::run() {
    for (std::size_t i = 0; i < this->from.events.size(); ++i)
        this->schedule(this->from.events[i].at_seconds, {.kind = event_kind::traced, .subject = i});
    this->schedule(1, {.kind = event_kind::second});
    std::size_t next = 0;
    while (next < this->arrivals.size() || !this->live.empty()) {
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
    return std::move(this->counted);
}

void simulation::schedule(double at, event scheduled) {
    scheduled.at = at;
    scheduled.order = ++this->event_order;
    this->events.push(std::move(scheduled));
}

admission::target_ledger& simulation::ledger_of(const live_request& one) {
    return this->fleet.ledger(one.what->service, this->region_of(*one.what));
}

void simulation::arrive(const arrival& next) {
    ++this->counted.requests;
    request::request_traits traits;
    traits.deadline = to_time(next.at_seconds + this->from.deadline_seconds);
    const auto number = ++this->last_request;
    this->live.emplace(number, live_request{&next, {traits, this->budgets[next.router]}});
    admission::queued_request waiting;
    waiting.request.sequence = number;
    waiting.organisation = {next.organisation};
    waiting.cost_tokens = next.cost();
    waiting.deadline = traits.deadline;
    const auto pushed =
        this->queues[next.router][next.service].push(waiting, to_time(next.at_seconds));
    if (pushed.displaced)
        this->end(pushed.displaced->request.sequence,
                  this->live.at(pushed.displaced->request.sequence)
                      .state.abort(kernel::error_kind::queue_full));
    if (!pushed.accepted)
        this->end(number, this->live.at(number).state.abort(pushed.rejection));
    this->pump(next.router, next.service);
}

void simulation::pump(std::uint32_t router, std::uint32_t service) {
    auto& waiting = this->reservations_waiting[router][service];
    while (waiting < this->options.waiting_per_router) {
        const auto popped = this->queues[router][service].pop();
        if (!popped)
            return;
        const auto number = popped->request.sequence;
        auto& popped_request = this->live.at(number);
        popped_request.from_backlog = this->options.keep_slots &&
                                      this->queues[router][service].size(popped->organisation) > 0;
        const auto made = popped_request.state.on_dequeued(to_time(this->now));
        if (made.next == request::action::finish)
            this->end(number, made);
        else
            this->reserve(number);
    }
}

std::optional<helpers::target_id>
simulation::try_candidates(live_request& asking, std::size_t wanted,
                           std::vector<helpers::target_id>& candidates) {
    const auto& what = *asking.what;
    auto& part = this->fleet.view_of(what.router).parts[what.service][this->region_of(what)];
    auto& ledger = this->ledger_of(asking);
    for (auto& target : part.targets)
        target.load = static_cast<double>(ledger.outstanding_tokens(target.id));
    this->fleet.set_placing(&what);
    this->ranked.clear();
    candidates.clear();
    const auto region = part.targets.empty() ? helpers::region_id{} : part.targets.front().region;
    part.strategy->rank({what.key, {}, region, wanted}, part.targets, this->random, this->ranked);
    for (const auto index : this->ranked)
        if (asking.state.may_use(part.targets[index].id))
            candidates.push_back(part.targets[index].id);
    const auto hints = this->hints_of(asking);
    return ledger.try_reserve(candidates, what.cost(), to_time(this->now), hints);
}

admission::reservation_hints simulation::hints_of(const live_request& asking) const {
    admission::reservation_hints hints;
    if (this->options.remember_keys && asking.what->key != placement::no_chat)
        hints = {asking.what->key, {asking.what->chat}};
    hints.from_backlog = asking.from_backlog;
    return hints;
}

void simulation::reserve(std::uint64_t number) {
    auto& asking = this->live.at(number);
    std::vector<helpers::target_id> candidates;
    while (true) {
        auto granted = this->try_candidates(asking, this->options.max_candidates, candidates);
        const auto all = this->fleet.targets_of(asking.what->service);
        if (!granted && this->options.ask_all && all > this->options.max_candidates)
            granted = this->try_candidates(asking, all, candidates);
        if (!granted) {
            ++this->reservations_waiting[asking.what->router][asking.what->service];
            this->waiters[asking.what->service][this->region_of(*asking.what)].push_back(
                {number, std::move(candidates)});
            return;
        }
        asking.state.on_granted(*granted, to_time(this->now + grant_seconds));
        if (this->fleet.at(this->fleet.place_of(*granted)).running) {
            this->send(number, *granted);
            return;
        }
        const auto failed = asking.state.on_connect_failed(to_time(this->now));
        this->ledger_of(asking).finish(*granted, asking.what->cost(),
                                       admission::release::result::not_sent, {},
                                       to_time(this->now));
        if (failed.next == request::action::finish) {
            this->end(number, failed);
            return;
        }
    }
}

void simulation::note_admission(const live_request& sent, helpers::target_id target) {
    auto& ledger = this->fleet.ledger(sent.what->service, this->region_of(*sent.what));
    const auto before = ledger.outstanding_tokens(target) - sent.what->cost();
    if (ledger.warm(target) && before > 0)
        this->counted.highest_load =
            std::max(this->counted.highest_load, static_cast<double>(before) / ledger.mean_load());
    const auto centre = this->fleet.data_centre_of(sent.target);
    if (this->fleet.has_left(centre)) {
        const bool late = this->now > this->left_at[centre] + known_everywhere_seconds;
        ++(late ? this->counted.to_left_late : this->counted.to_left_early);
    }
    const auto& real = this->fleet.at(sent.target);
    const auto& shape = this->from.services[sent.what->service];
    if (real.cold_requests > 0 && real.in_flight > shape.cold_allowance)
        ++this->counted.cold_overloads;
}

void simulation::send(std::uint64_t number, helpers::target_id target) {
    auto& sent = this->live.at(number);
    sent.state.on_connected(to_time(this->now));
    sent.target = this->fleet.place_of(target);
    auto& real = this->fleet.at(sent.target);
    const auto cached = real.cache.cached(*sent.what);
    real.cache.use(*sent.what);
    ++real.in_flight;
    real.tokens += sent.what->cost();
    sent.time = time_of(*sent.what, cached, real.cold_requests > 0);
    sent.sent_at = this->now;
    sent.sent = true;
    ++sent.attempts;
    this->note_admission(sent, target);
    this->counted.prompt_tokens += sent.what->prompt_tokens();
    this->counted.cached_tokens += cached;
    if (this->now < this->last_churn + churn_seconds) {
        this->counted.churn_prompt_tokens += sent.what->prompt_tokens();
        this->counted.churn_cached_tokens += cached;
    }
    const auto wait = this->now - sent.what->at_seconds;
    auto& first_bytes =
        sent.what->surging ? this->counted.surge_first_bytes : this->counted.quiet_first_bytes;
    if (sent.attempts == 1)
        first_bytes.push_back(wait + sent.time.first_byte);
    if (sent.attempts == 1 && !sent.what->surging) {
        this->counted.quiet_waits.push_back(wait);
        if (this->from.surges_at(sent.what->at_seconds))
            this->counted.quiet_during_surge.push_back(wait + sent.time.first_byte);
    }
    this->schedule(this->now + sent.time.whole,
                   {.kind = event_kind::finish, .subject = number, .attempt = sent.attempts});
}

void simulation::finish_attempt(std::uint64_t number, std::uint32_t attempt) {
    const auto found = this->live.find(number);
    if (found == this->live.end() || found->second.attempts != attempt || !found->second.sent)
        return;
    auto& ended = found->second;
    auto& real = this->fleet.at(ended.target);
    --real.in_flight;
    real.tokens -= ended.what->cost();
    if (real.cold_requests > 0)
        --real.cold_requests;
    const auto first_byte = std::chrono::duration_cast<helpers::duration>(
        std::chrono::duration<double>(ended.time.first_byte));
    this->ledger_of(ended).finish(this->fleet.id_of(ended.target), ended.what->cost(),
                                  admission::release::result::success, first_byte,
                                  to_time(this->now));
    const auto service = ended.what->service;
    const auto region = this->region_of(*ended.what);
    this->end(number, ended.state.on_completed());
    this->serve_waiters(service, region);
}

void simulation::end(std::uint64_t number, const request::decision& made) {
    const std::array counts{&tallies::answered, &tallies::not_run, &tallies::unknown};
    ++(this->counted.*counts.at(static_cast<std::size_t>(made.outcome)));
    if (made.outcome == kernel::request_outcome::not_run && !this->live.at(number).what->surging)
        ++this->counted.quiet_not_run;
    this->live.erase(number);
}

void simulation::fail_engine(target_place place) {
    std::vector<std::uint64_t> affected;
    for (const auto& [number, each] : this->live)
        if (each.sent && each.target.service == place.service && each.target.number == place.number)
            affected.push_back(number);
    std::ranges::sort(affected);
    auto& real = this->fleet.at(place);
    real.in_flight = 0;
    real.tokens = 0;
    for (const auto number : affected) {
        auto& failed = this->live.at(number);
        failed.sent = false;
        const auto made = failed.state.on_attempt_failed(false, to_time(this->now));
        this->ledger_of(failed).finish(this->fleet.id_of(place), failed.what->cost(),
                                       admission::release::result::failure, {}, to_time(this->now));
        if (made.next == request::action::finish) {
            this->end(number, made);
            continue;
        }
        ++this->counted.retries;
        this->reserve(number);
    }
}

void simulation::serve_waiters(std::uint32_t service, std::uint32_t region) {
    auto waiting = std::move(this->waiters[service][region]);
    this->waiters[service][region].clear();
    auto& ledger = this->fleet.ledger(service, region);
    std::vector<waiter> still;
    for (auto& each : waiting) {
        const auto found = this->live.find(each.request);
        if (found == this->live.end())
            continue;
        auto& asking = found->second;
        const auto router = asking.what->router;
        const auto leave_list = [&] { --this->reservations_waiting[router][service]; };
        if (to_time(this->now) >= asking.state.traits().deadline) {
            leave_list();
            this->end(each.request, asking.state.abort(kernel::error_kind::deadline_exceeded));
            this->pump(router, service);
            continue;
        }
        const auto granted = ledger.try_reserve(each.candidates, asking.what->cost(),
                                                to_time(this->now), this->hints_of(asking));
        if (!granted) {
            still.push_back(std::move(each));
            continue;
        }
        // Placed again by the same path as a new reservation.
        ledger.finish(*granted, asking.what->cost(), admission::release::result::not_sent, {},
                      to_time(this->now));
        leave_list();
        this->reserve(each.request);
        this->pump(router, service);
    }
    auto& list = this->waiters[service][region];
    list.insert(list.begin(), std::make_move_iterator(still.begin()),
                std::make_move_iterator(still.end()));
}

} // namespace samphirespool::replay
