// Local enforcement of free and granted shares.
#include "admission/organisation_limits.hpp"

#include <algorithm>

namespace samphirespool::admission {

namespace {

double seconds(helpers::duration interval) {
    return std::chrono::duration<double>(interval).count();
}

constexpr helpers::time_point never{};

} // namespace

void organisation_limits::set_limit(helpers::organisation_id organisation,
                                    const organisation_limit& limit) {
    this->organisations[organisation].limit = limit;
}

void organisation_limits::remove_limit(helpers::organisation_id organisation) {
    this->organisations.erase(organisation);
}

organisation_limits::allowance
organisation_limits::current_allowance(const usage& state, helpers::time_point now) const {
    const auto free = free_share_of(state.limit, this->routers);
    allowance result{free.rate, free.in_flight};
    if (state.granted_valid_until > now) {
        result.rate += state.granted_rate;
        result.in_flight += state.granted_in_flight;
    }
    if (state.unreplied_since == never || now - state.unreplied_since < owner_timeout)
        return result;
    const auto router_count = static_cast<double>(this->routers);
    result.rate = std::max(result.rate, state.limit.requests_per_second / router_count);
    const auto slots = static_cast<std::uint32_t>(state.limit.in_flight / router_count);
    result.in_flight = std::max({result.in_flight, slots, 1U});
    return result;
}

void organisation_limits::refill(usage& state, double rate, helpers::time_point now) const {
    const auto capacity = std::max(1.0, rate);
    if (!state.bucket_initialised) {
        state.bucket_initialised = true;
        state.tokens = rate;
        state.tokens_at = now;
    }
    state.tokens = std::min(capacity, state.tokens + rate * seconds(now - state.tokens_at));
    state.tokens_at = now;
}

bool organisation_limits::try_start(helpers::organisation_id organisation,
                                    helpers::time_point now) {
    const auto found = this->organisations.find(organisation);
    if (found == this->organisations.end())
        return true;
    auto& state = found->second;
    const auto limit = this->current_allowance(state, now);
    this->refill(state, limit.rate, now);
    const bool rate_left = state.limit.requests_per_second <= 0 || state.tokens >= 1;
    const bool slot_left = state.limit.in_flight == 0 || state.in_flight < limit.in_flight;
    if (!rate_left || !slot_left) {
        state.rejected_since_report = true;
        return false;
    }
    state.tokens -= 1;
    state.waiting -= std::min(state.waiting, 1U);
    ++state.in_flight;
    ++state.started_since_report;
    return true;
}

void organisation_limits::on_enqueued(helpers::organisation_id organisation) {
    const auto found = this->organisations.find(organisation);
    if (found != this->organisations.end())
        ++found->second.waiting;
}

void organisation_limits::on_cancelled(helpers::organisation_id organisation) {
    const auto found = this->organisations.find(organisation);
    if (found != this->organisations.end() && found->second.waiting > 0)
        --found->second.waiting;
}

void organisation_limits::finish(helpers::organisation_id organisation, helpers::time_point) {
    const auto found = this->organisations.find(organisation);
    if (found != this->organisations.end() && found->second.in_flight > 0)
        --found->second.in_flight;
}

bool organisation_limits::needs_report(const usage& state, helpers::time_point now) const {
    const auto free = free_share_of(state.limit, this->routers);
    const auto since = now - state.last_report;
    if (state.last_report != never && since < urgent_interval)
        return false;
    if (state.rejected_since_report && state.waiting > 0)
        return true;
    if (state.last_report != never && since < report_interval)
        return false;
    const auto interval = state.last_report == never ? report_interval : since;
    const auto rate = state.started_since_report / seconds(interval);
    const bool over_rate = state.limit.requests_per_second > 0 && rate > free.rate;
    const bool over_slots = state.limit.in_flight > 0 && state.in_flight > free.in_flight;
    return over_rate || over_slots;
}

std::vector<usage_report> organisation_limits::usage_reports(helpers::time_point now) {
    std::vector<usage_report> reports;
    for (auto& [organisation, state] : this->organisations) {
        const auto since = now - state.last_report;
        if (!this->needs_report(state, now)) {
            if (since >= report_interval) {
                state.started_since_report = 0;
                state.rejected_since_report = false;
                state.unreplied_since = never;
                state.last_report = now;
            }
            continue;
        }
        const auto free = free_share_of(state.limit, this->routers);
        const auto interval =
            std::clamp<helpers::duration>(since, urgent_interval, report_interval);
        const auto rate = (state.started_since_report + state.waiting) / seconds(interval);
        const auto slots = state.in_flight + state.waiting;
        usage_report report{organisation, this->self};
        report.wanted_rate = std::max(0.0, rate - free.rate);
        report.wanted_in_flight = slots - std::min(slots, free.in_flight);
        report.used_in_flight = state.in_flight - std::min(state.in_flight, free.in_flight);
        reports.push_back(report);
        if (state.unreplied_since == never)
            state.unreplied_since = now;
        state.last_report = now;
        state.started_since_report = 0;
        state.rejected_since_report = false;
    }
    return reports;
}

void organisation_limits::apply(const limit_share& share, helpers::time_point now) {
    const auto found = this->organisations.find(share.organisation);
    if (found == this->organisations.end())
        return;
    auto& state = found->second;
    this->refill(state, this->current_allowance(state, now).rate, now);
    state.unreplied_since = never;
    state.granted_rate = share.rate;
    state.granted_in_flight = share.in_flight;
    state.granted_valid_until = now + share.valid_for;
}

std::uint32_t organisation_limits::in_flight(helpers::organisation_id organisation) const {
    const auto found = this->organisations.find(organisation);
    return found == this->organisations.end() ? 0 : found->second.in_flight;
}

} // namespace samphirespool::admission
