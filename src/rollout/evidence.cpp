// Counting of results by target and route, and their sums over the fleet.
#include "rollout/evidence.hpp"

#include <algorithm>
#include <cmath>

namespace samphirespool::rollout {

namespace {

// Streams with fewer events say little about the time between them.
constexpr std::uint32_t least_events = 4;
// At this count the times of a route are halved, so that they follow its recent requests.
constexpr std::uint32_t most_of_class = 1000;
// A failure is counted when this share of the route's answers would be, but not later than this.
constexpr double usual_share = 0.9;
constexpr helpers::duration longest_wait = std::chrono::seconds(1);

std::uint32_t difference(std::uint32_t later, std::uint32_t earlier) {
    return later > earlier ? later - earlier : 0;
}

} // namespace

std::size_t duration_class(helpers::duration time) {
    const double milliseconds = std::chrono::duration<double, std::milli>(time).count();
    if (milliseconds < 1)
        return 0;
    return std::min(static_cast<std::size_t>(2 * std::log2(milliseconds)), duration_classes - 1);
}

double lower_bound_of_class(std::size_t index) {
    return index == 0 ? 0 : std::exp2(static_cast<double>(index) / 2);
}

helpers::duration quantile(const duration_counts& given, double share) {
    double total = 0;
    for (const auto each : given)
        total += each;
    double left = std::clamp(share, 0.0, 1.0) * total;
    for (std::size_t i = 0; i < duration_classes; ++i) {
        if (given[i] == 0)
            continue;
        if (left <= given[i]) {
            const double lower = lower_bound_of_class(i);
            const double upper = lower_bound_of_class(i + 1);
            const double milliseconds = lower + (upper - lower) * left / given[i];
            return helpers::duration(static_cast<std::int64_t>(milliseconds * 1e6));
        }
        left -= given[i];
    }
    return {};
}

void counts::add(const counts& other) {
    this->answered += other.answered;
    this->failed += other.failed;
    for (std::size_t i = 0; i < duration_classes; ++i)
        this->durations[i] += other.durations[i];
}

counts counts::since(const counts& earlier) const {
    counts result;
    result.answered = difference(this->answered, earlier.answered);
    result.failed = difference(this->failed, earlier.failed);
    for (std::size_t i = 0; i < duration_classes; ++i)
        result.durations[i] = difference(this->durations[i], earlier.durations[i]);
    return result;
}

std::uint32_t counts::timed() const {
    std::uint32_t sum = 0;
    for (const auto each : this->durations)
        sum += each;
    return sum;
}

void evidence_log::begin(service_key service, order_id order, software_key to) {
    const auto found = this->orders.find(service);
    if (found != this->orders.end() && found->second.order == order)
        return;
    this->end(service);
    this->orders[service] = {order, to};
}

void evidence_log::end(service_key service) {
    this->orders.erase(service);
    std::erase_if(this->rows, [&](const auto& each) { return each.first.service == service; });
    std::erase_if(this->early_failures,
                  [&](const auto& each) { return each.key.service == service; });
}

void evidence_log::record(service_key service, route_key route, software_key software,
                          target_key target, const outcome& result, helpers::time_point now) {
    const auto found = this->orders.find(service);
    const bool has_order = found != this->orders.end();
    const bool is_new = has_order && software == found->second.to;
    const bool is_progress = result.part == outcome_part::progress;
    const bool is_end = result.part == outcome_part::end;
    if (!result.is_failure && !is_new) {
        if (!is_progress)
            count_time(this->totals[{service, route}], result.total);
        if (!is_end)
            count_time(this->answer_times[{service, route}], result.total);
    }
    if (!has_order)
        return;
    const row_key key{service, found->second.order, is_new ? target : no_target, route};
    if (result.is_failure && !is_end) {
        const auto wait = this->usual_time(service, route) - result.total;
        this->early_failures.push_back({now + std::max(helpers::duration{}, wait), key});
        return;
    }
    auto& row = this->rows[key];
    row.is_changed = true;
    row.values.answered += is_end ? 0 : 1;
    row.values.failed += result.is_failure ? 1 : 0;
    if (result.is_failure || result.is_cold || is_end)
        return;
    const auto time = result.events >= least_events
                          ? result.between_events / static_cast<std::int64_t>(result.events - 1)
                          : result.total;
    ++row.values.durations[duration_class(time)];
}

helpers::duration evidence_log::usual_time(service_key service, route_key route) const {
    const auto found = this->answer_times.find({service, route});
    if (found == this->answer_times.end())
        return {};
    return std::min(longest_wait, quantile(found->second, usual_share));
}

void evidence_log::count_failures(helpers::time_point now) {
    std::erase_if(this->early_failures, [&](const early_failure& each) {
        if (each.due > now)
            return false;
        auto& row = this->rows[each.key];
        row.is_changed = true;
        ++row.values.answered;
        ++row.values.failed;
        return true;
    });
}

std::vector<evidence_row> evidence_log::changed_rows(helpers::time_point now, bool all) {
    this->count_failures(now);
    std::vector<evidence_row> result;
    for (auto& [key, row] : this->rows) {
        if (all || row.is_changed)
            result.push_back({key, row.values});
        row.is_changed = false;
    }
    return result;
}

const duration_counts* evidence_log::total_times(service_key service, route_key route) const {
    const auto found = this->totals.find({service, route});
    return found == this->totals.end() ? nullptr : &found->second;
}

void evidence_log::count_time(duration_counts& times, helpers::duration time) {
    if (++times[duration_class(time)] < most_of_class)
        return;
    for (auto& each : times)
        each /= 2;
}

void evidence_totals::merge(std::string_view gateway, const std::vector<evidence_row>& received) {
    for (const auto& each : received) {
        auto& stored = this->rows[each.key][std::string(gateway)];
        // Rows only grow: an older message that arrives late changes nothing.
        const auto sum_of = [](const counts& given) { return given.answered + given.failed; };
        if (sum_of(each.values) >= sum_of(stored))
            stored = each.values;
    }
}

void evidence_totals::retain(service_key service, order_id order) {
    std::erase_if(this->rows, [&](const auto& each) {
        return each.first.service == service && each.first.order != order;
    });
}

std::map<row_key, counts> evidence_totals::rows_of(service_key service, order_id order) const {
    std::map<row_key, counts> result;
    for (auto each = this->rows.lower_bound({service, order, 0, 0});
         each != this->rows.end() && each->first.service == service && each->first.order == order;
         ++each)
        for (const auto& [gateway, values] : each->second)
            result[each->first].add(values);
    return result;
}

} // namespace samphirespool::rollout
