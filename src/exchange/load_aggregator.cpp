// Aggregation of the reported counts.
#include "exchange/load_aggregator.hpp"

#include <algorithm>
#include <tuple>

namespace samphirespool::exchange {

top_counts select_top(target_counts counts, std::size_t limit) {
    if (counts.size() <= limit)
        return {std::move(counts), 0};
    // A single failure may be chance and does not affect the ranking.
    constexpr std::uint32_t min_ranked_failures = 2;
    const auto rank = [](const target_count& each) {
        return std::tuple(each.results.failures >= min_ranked_failures, each.in_flight);
    };
    const auto end = counts.begin() + static_cast<std::ptrdiff_t>(limit);
    std::nth_element(
        counts.begin(), end, counts.end(),
        [&rank](const target_count& a, const target_count& b) { return rank(a) > rank(b); });
    std::uint32_t max_unlisted = 0;
    for (auto unlisted = end; unlisted != counts.end(); ++unlisted)
        max_unlisted = std::max(max_unlisted, unlisted->in_flight);
    counts.erase(end, counts.end());
    return {std::move(counts), max_unlisted};
}

void load_aggregator::store(entries& into, const std::string& name, entry newest) {
    std::erase_if(into, [&](const auto& each) {
        return newest.received_at - each.second.received_at > max_report_age;
    });
    into[name] = std::move(newest);
}

void load_aggregator::set_member_counts(const std::string& member, const std::string& data_centre,
                                        target_counts counts, helpers::time_point now) {
    store(this->members, member, {data_centre, std::move(counts), now});
}

void load_aggregator::set_group_counts(const std::string& group, target_counts counts,
                                       helpers::time_point now) {
    store(this->groups, group, {group, std::move(counts), now});
}

void load_aggregator::accumulate(const entry& from, bool is_same_data_centre, sums& into) {
    for (const auto& count : from.counts) {
        auto& total = into[count.incarnation_hash];
        total.incarnation_hash = count.incarnation_hash;
        total.in_flight += count.in_flight;
        total.results += count.results;
        if (is_same_data_centre)
            total.same_data_centre += count.results;
    }
}

target_counts load_aggregator::counts_of(const sums& from) {
    target_counts result;
    result.reserve(from.size());
    for (const auto& [target, count] : from)
        result.push_back(count);
    return result;
}

target_counts load_aggregator::group_total(helpers::time_point now) const {
    sums totals;
    for (const auto& [name, each] : this->members)
        if (now - each.received_at <= max_report_age)
            accumulate(each, false, totals);
    return counts_of(totals);
}

target_counts load_aggregator::total_for(const std::string& data_centre,
                                         helpers::time_point now) const {
    sums totals;
    for (const auto* from : {&this->members, &this->groups})
        for (const auto& [name, each] : *from)
            if (now - each.received_at <= max_report_age)
                accumulate(each, each.data_centre == data_centre, totals);
    return counts_of(totals);
}

} // namespace samphirespool::exchange
