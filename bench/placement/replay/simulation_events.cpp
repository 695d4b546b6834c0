// What happens to the fleet during a replay.
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
            this->fleet.learn(due.subject, *due.truth, this->now);
        else
            this->fleet.learn_as_owners(*due.truth, this->now);
        return;
    case event_kind::report: {
        const helpers::target_id target{due.subject};
        const auto place = this->fleet.place_of(target);
        this->fleet.ledger(place.service, this->fleet.region_of(place))
            .report(target, due.load, to_time(this->now));
        return;
    }
    case event_kind::second:
        this->each_second();
        return;
    case event_kind::traced:
        this->apply(this->from.events[due.subject]);
        return;
    }
}

void simulation::apply(const traced_event& happened) {
    if (happened.action == traced_action::surge)
        return;
    if (happened.action == traced_action::stop_reports) {
        this->reports_stopped = true;
        return;
    }
    this->last_churn = this->now;
    target_place place{0, happened.subject};
    for (std::uint32_t i = 0; i < this->from.services.size(); ++i)
        if (this->from.services[i].name == happened.service)
            place.service = i;
    auto& real = this->fleet.at(place);
    const auto lose_memory = [&] {
        real.cache.clear();
        real.cold_requests = cold_requests;
    };
    switch (happened.action) {
    case traced_action::leave:
        this->fleet.mark(happened.subject, config::mark_state::leaving, this->now);
        this->left_at[happened.subject] = this->now;
        break;
    case traced_action::come_back:
        this->fleet.mark(happened.subject, config::mark_state::returning, this->now);
        break;
    case traced_action::lose_target:
        real.running = false;
        lose_memory();
        this->fail_engine(place);
        break;
    case traced_action::restart_target:
        real.running = true;
        ++real.incarnation;
        lose_memory();
        break;
    default:
        lose_memory();
        return;
    }
    this->announce();
}

void simulation::announce() {
    const auto stated = this->fleet.state_truth();
    for (std::size_t i = 0; i < this->fleet.count_views(); ++i)
        this->schedule(this->now + this->fleet.lag_of(i),
                       {.kind = event_kind::views, .subject = i, .truth = stated});
    // Owners are routers as well: they lag like the middle of them.
    this->schedule(
        this->now + this->from.view_lag_seconds / 2,
        {.kind = event_kind::views, .subject = this->fleet.count_views(), .truth = stated});
}

void simulation::each_second() {
    this->fleet.advance(this->now);
    if (!this->reports_stopped)
        this->send_reports();
    this->expire_queues();
    for (std::uint32_t service = 0; service < this->from.services.size(); ++service)
        for (std::uint32_t region = 0; region < this->from.regions; ++region) {
            this->serve_waiters(service, region);
            this->sample_skew(service, region);
        }
    if (this->now < this->from.seconds + 2 * this->from.deadline_seconds)
        this->schedule(this->now + 1, {.kind = event_kind::second});
}

void simulation::send_reports() {
    for (std::uint32_t service = 0; service < this->from.services.size(); ++service)
        for (std::uint32_t number = 0; number < this->fleet.targets_of(service); ++number) {
            const target_place place{service, number};
            const auto& real = this->fleet.at(place);
            if (!real.running)
                continue;
            event told{.kind = event_kind::report, .subject = this->fleet.id_of(place).value};
            told.load = {real.incarnation, real.in_flight, real.tokens,
                         std::chrono::seconds(static_cast<int>(report_lag_seconds))};
            this->schedule(this->now + report_lag_seconds, std::move(told));
        }
}

void simulation::expire_queues() {
    std::vector<admission::queued_request> expired;
    for (auto& router : this->queues)
        for (auto& queue : router)
            queue.expire(to_time(this->now), expired);
    for (const auto& each : expired) {
        const auto number = each.request.sequence;
        this->end(number, this->live.at(number).state.abort(kernel::error_kind::deadline_exceeded));
    }
}

void simulation::sample_skew(std::uint32_t service, std::uint32_t region) {
    // Neither the fleet filling up nor running empty tells of skew.
    if (this->now < fill_seconds || this->now > this->from.seconds)
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
    this->counted.skews.push_back(static_cast<double>(highest) / mean);
}

} // namespace samphirespool::replay
