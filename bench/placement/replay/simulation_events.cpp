// Handles scheduled events: view updates, load reports and the traced events of the fleet.
#include "bench/placement/replay/simulation.hpp"

#include <algorithm>

namespace samphirespool::replay {

namespace {

constexpr double report_lag_seconds = 2;
constexpr std::uint32_t cold_requests = 16;
constexpr double fill_seconds = 10;

} // namespace

void simulation::handle(const event& due) {
    switch (due.kind) {
    case event_kind::finish:
        this->finish_attempt(due.subject, due.attempt);
        return;
    case event_kind::views:
        if (due.subject < this->fleet.count_views())
            this->fleet.update_view(due.subject, *due.fleet_state, this->now);
        else
            this->fleet.update_owners(*due.fleet_state, this->now);
        return;
    case event_kind::report: {
        const helpers::target_id target{due.subject};
        const auto place = this->fleet.place_of(target);
        this->fleet.ledger(place.service, this->fleet.region_of(place))
            .report(target, due.load, to_time(this->now));
        return;
    }
    case event_kind::second:
        this->on_each_second();
        return;
    case event_kind::traced:
        this->apply(this->replayed_trace.events[due.subject]);
        return;
    }
}

void simulation::apply(const traced_event& trace_event) {
    if (trace_event.action == traced_action::surge)
        return;
    if (trace_event.action == traced_action::stop_reports) {
        this->reports_stopped = true;
        return;
    }
    this->last_churn = this->now;
    target_place place{0, trace_event.subject};
    for (std::uint32_t i = 0; i < this->replayed_trace.services.size(); ++i)
        if (this->replayed_trace.services[i].name == trace_event.service)
            place.service = i;
    auto& target_engine = this->fleet.engine_at(place);
    const auto reset_cache = [&] {
        target_engine.cache.clear();
        target_engine.cold_requests = cold_requests;
    };
    switch (trace_event.action) {
    case traced_action::drain_centre:
        this->fleet.mark(trace_event.subject, config::mark_state::leaving, this->now);
        this->drained_at[trace_event.subject] = this->now;
        break;
    case traced_action::return_centre:
        this->fleet.mark(trace_event.subject, config::mark_state::returning, this->now);
        break;
    case traced_action::lose_target:
        target_engine.running = false;
        reset_cache();
        this->fail_engine(place);
        break;
    case traced_action::restart_target:
        target_engine.running = true;
        ++target_engine.incarnation;
        reset_cache();
        break;
    default:
        reset_cache();
        return;
    }
    this->schedule_view_updates();
}

void simulation::schedule_view_updates() {
    const auto current_state = this->fleet.snapshot_state();
    for (std::size_t i = 0; i < this->fleet.count_views(); ++i)
        this->schedule(this->now + this->fleet.lag_of(i),
                       {.kind = event_kind::views, .subject = i, .fleet_state = current_state});
    // Owners are routers as well and get about the mean lag.
    this->schedule(this->now + this->replayed_trace.view_lag_seconds / 2,
                   {.kind = event_kind::views,
                    .subject = this->fleet.count_views(),
                    .fleet_state = current_state});
}

void simulation::on_each_second() {
    this->fleet.advance(this->now);
    if (!this->reports_stopped)
        this->send_reports();
    this->expire_queues();
    for (std::uint32_t service = 0; service < this->replayed_trace.services.size(); ++service)
        for (std::uint32_t region = 0; region < this->replayed_trace.regions; ++region) {
            this->retry_waiters(service, region);
            this->sample_skew(service, region);
        }
    if (this->now < this->replayed_trace.seconds + 2 * this->replayed_trace.deadline_seconds)
        this->schedule(this->now + 1, {.kind = event_kind::second});
}

void simulation::send_reports() {
    for (std::uint32_t service = 0; service < this->replayed_trace.services.size(); ++service)
        for (std::uint32_t number = 0; number < this->fleet.targets_of(service); ++number) {
            const target_place place{service, number};
            const auto& target_engine = this->fleet.engine_at(place);
            if (!target_engine.running)
                continue;
            event report_event{.kind = event_kind::report,
                               .subject = this->fleet.id_of(place).value};
            report_event.load = {target_engine.incarnation, target_engine.in_flight,
                                 target_engine.tokens,
                                 std::chrono::seconds(static_cast<int>(report_lag_seconds))};
            this->schedule(this->now + report_lag_seconds, std::move(report_event));
        }
}

void simulation::expire_queues() {
    std::vector<admission::queued_request> expired;
    for (auto& router : this->queues)
        for (auto& queue : router)
            queue.expire(to_time(this->now), expired);
    for (const auto& expired_request : expired) {
        const auto number = expired_request.request.sequence;
        this->finish_request(number, this->live_requests.at(number).state.abort(
                                         kernel::error_kind::deadline_exceeded));
    }
}

void simulation::sample_skew(std::uint32_t service, std::uint32_t region) {
    // The loads while the fleet fills up or empties at the end say nothing about skew.
    if (this->now < fill_seconds || this->now > this->replayed_trace.seconds)
        return;
    auto& ledger = this->fleet.ledger(service, region);
    const auto mean = ledger.mean_load();
    if (mean <= 0)
        return;
    std::uint64_t highest = 0;
    for (std::uint32_t number = 0; number < this->fleet.targets_of(service); ++number) {
        const target_place place{service, number};
        const auto id = this->fleet.id_of(place);
        if (this->fleet.region_of(place) == region && ledger.warm(id))
            highest = std::max(highest, ledger.outstanding_tokens(id));
    }
    this->counts.skews.push_back(static_cast<double>(highest) / mean);
}

} // namespace samphirespool::replay
