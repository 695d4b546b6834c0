// Adds up reports.
#include "exchange/load_board.hpp"

#include <algorithm>
#include <tuple>

namespace samphirespool::exchange {

largest_counts largest_of(target_counts counts, std::size_t most) {
    if (counts.size() <= most)
        return {std::move(counts), 0};
    // One failure is chance.
    constexpr std::uint32_t telling_failures = 2;
    const auto rank = [](const target_count& each) {
        return std::tuple(each.results.failures >= telling_failures, each.in_flight);
    };
    const auto end = counts.begin() + static_cast<std::ptrdiff_t>(most);
    std::nth_element(
        counts.begin(), end, counts.end(),
        [&rank](const target_count& a, const target_count& b) { return rank(a) > rank(b); });
    std::uint32_t rest = 0;
    for (auto left_out = end; left_out != counts.end(); ++left_out)
        rest = std::max(rest, left_out->in_flight);
    counts.erase(end, counts.end());
    return {std::move(counts), rest};
}

void load_board::put(entries& into, const std::string& name, entry newest) {
    std::erase_if(into, [&](const auto& each) { return newest.at - each.second.at > max_age; });
    into[name] = std::move(newest);
}

void load_board::report(const std::string& member, const std::string& data_centre,
                        target_counts counts, helpers::time_point now) {
    put(this->members, member, {data_centre, std::move(counts), now});
}

void load_board::report_group(const std::string& group, target_counts counts,
                              helpers::time_point now) {
    put(this->groups, group, {group, std::move(counts), now});
}

void load_board::add(const entry& from, bool is_near, sums& into) {
    for (const auto& count : from.counts) {
        auto& sum = into[count.incarnation_hash];
        sum.incarnation_hash = count.incarnation_hash;
        sum.in_flight += count.in_flight;
        sum.results += count.results;
        if (is_near)
            sum.same_data_centre += count.results;
    }
}

target_counts load_board::counts_of(const sums& from) {
    target_counts result;
    result.reserve(from.size());
    for (const auto& [target, count] : from)
        result.push_back(count);
    return result;
}

target_counts load_board::group_total(helpers::time_point now) const {
    sums added;
    for (const auto& [name, each] : this->members)
        if (now - each.at <= max_age)
            add(each, false, added);
    return counts_of(added);
}

target_counts load_board::total_for(const std::string& data_centre, helpers::time_point now) const {
    sums added;
    for (const auto* from : {&this->members, &this->groups})
        for (const auto& [name, each] : *from)
            if (now - each.at <= max_age)
                add(each, each.data_centre == data_centre, added);
    return counts_of(added);
}

} // namespace samphirespool::exchange
