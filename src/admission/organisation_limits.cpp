// Local admission against free and granted shares.
#include "admission/organisation_limits.hpp"

#include <algorithm>

namespace samphirespool::admission {

namespace {

double seconds(helpers::duration length) {
    return std::chrono::duration<double>(length).count();
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

organisation_limits::allowed organisation_limits::allowed_now(const usage& used,
                                                              helpers::time_point now) const {
    const auto free = free_share_of(used.limit, this->routers);
    allowed result{free.rate, free.in_flight};
    if (used.granted_until > now) {
        result.rate += used.granted_rate;
        result.in_flight += used.granted_in_flight;
    }
    if (used.unanswered_since == never || now - used.unanswered_since < owner_timeout)
        return result;
    const auto even = static_cast<double>(this->routers);
    result.rate = std::max(result.rate, used.limit.requests_per_second / even);
    const auto slots = static_cast<std::uint32_t>(used.limit.in_flight / even);
    result.in_flight = std::max({result.in_flight, slots, 1U});
    return result;
}

void organisation_limits::refill(usage& used, double rate, helpers::time_point now) const {
    const auto most = std::max(1.0, rate);
    if (!used.seen) {
        used.seen = true;
        used.tokens = rate;
        used.tokens_at = now;
    }
    used.tokens = std::min(most, used.tokens + rate * seconds(now - used.tokens_at));
    used.tokens_at = now;
}

bool organisation_limits::try_start(helpers::organisation_id organisation,
                                    helpers::time_point now) {
    const auto found = this->organisations.find(organisation);
    if (found == this->organisations.end())
        return true;
    auto& used = found->second;
    const auto limit = this->allowed_now(used, now);
    this->refill(used, limit.rate, now);
    const bool rate_left = used.limit.requests_per_second <= 0 || used.tokens >= 1;
    const bool slot_left = used.limit.in_flight == 0 || used.in_flight < limit.in_flight;
    if (!rate_left || !slot_left) {
        used.refused_since_report = true;
        return false;
    }
    used.tokens -= 1;
    used.waiting -= std::min(used.waiting, 1U);
    ++used.in_flight;
    ++used.started_since_report;
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

bool organisation_limits::needs_report(const usage& used, helpers::time_point now) const {
    const auto free = free_share_of(used.limit, this->routers);
    const auto since = now - used.last_report;
    if (used.last_report != never && since < urgent_interval)
        return false;
    if (used.refused_since_report && used.waiting > 0)
        return true;
    if (used.last_report != never && since < report_interval)
        return false;
    const auto interval = used.last_report == never ? report_interval : since;
    const auto rate = used.started_since_report / seconds(interval);
    const bool over_rate = used.limit.requests_per_second > 0 && rate > free.rate;
    const bool over_slots = used.limit.in_flight > 0 && used.in_flight > free.in_flight;
    return over_rate || over_slots;
}

std::vector<usage_report> organisation_limits::usage_reports(helpers::time_point now) {
    std::vector<usage_report> reports;
    for (auto& [organisation, used] : this->organisations) {
        const auto since = now - used.last_report;
        if (!this->needs_report(used, now)) {
            if (since >= report_interval) {
                used.started_since_report = 0;
                used.refused_since_report = false;
                used.unanswered_since = never;
                used.last_report = now;
            }
            continue;
        }
        const auto free = free_share_of(used.limit, this->routers);
        const auto interval =
            std::clamp<helpers::duration>(since, urgent_interval, report_interval);
        const auto rate = (used.started_since_report + used.waiting) / seconds(interval);
        const auto slots = used.in_flight + used.waiting;
        usage_report report{organisation, this->self};
        report.wanted_rate = std::max(0.0, rate - free.rate);
        report.wanted_in_flight = slots - std::min(slots, free.in_flight);
        report.used_in_flight = used.in_flight - std::min(used.in_flight, free.in_flight);
        reports.push_back(report);
        if (used.unanswered_since == never)
            used.unanswered_since = now;
        used.last_report = now;
        used.started_since_report = 0;
        used.refused_since_report = false;
    }
    return reports;
}

void organisation_limits::apply(const limit_share& share, helpers::time_point now) {
    const auto found = this->organisations.find(share.organisation);
    if (found == this->organisations.end())
        return;
    auto& used = found->second;
    this->refill(used, this->allowed_now(used, now).rate, now);
    used.unanswered_since = never;
    used.granted_rate = share.rate;
    used.granted_in_flight = share.in_flight;
    used.granted_until = now + share.valid_for;
}

std::uint32_t organisation_limits::in_flight(helpers::organisation_id organisation) const {
    const auto found = this->organisations.find(organisation);
    return found == this->organisations.end() ? 0 : found->second.in_flight;
}

} // namespace samphirespool::admission
