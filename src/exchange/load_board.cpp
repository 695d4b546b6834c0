// Adds up reports.
#include "exchange/load_board.hpp"

#include <algorithm>

namespace samphirespool::exchange {

largest_counts largest_of(target_counts counts, std::size_t most) {
    if (counts.size() <= most)
        return {std::move(counts), 0};
    const auto end = counts.begin() + static_cast<std::ptrdiff_t>(most);
    std::nth_element(
        counts.begin(), end, counts.end(),
        [](const target_count& a, const target_count& b) { return a.requests > b.requests; });
    const auto rest = end->requests;
    counts.erase(end, counts.end());
    return {std::move(counts), rest};
}

void load_board::put(entries& into, const std::string& name, target_counts counts,
                     helpers::time_point now) {
    std::erase_if(into, [now](const auto& each) { return now - each.second.at > max_age; });
    into[name] = {std::move(counts), now};
}

void load_board::report(const std::string& member, target_counts counts, helpers::time_point now) {
    put(this->members, member, std::move(counts), now);
}

void load_board::report_group(const std::string& group, target_counts counts,
                              helpers::time_point now) {
    put(this->groups, group, std::move(counts), now);
}

void load_board::add(const entries& from, helpers::time_point now, sums& into) {
    for (const auto& [name, each] : from)
        if (now - each.at <= max_age)
            for (const auto& count : each.counts)
                into[count.target] += count.requests;
}

target_counts load_board::counts_of(const sums& from) {
    target_counts result;
    result.reserve(from.size());
    for (const auto& [target, requests] : from)
        result.push_back({target, requests});
    return result;
}

target_counts load_board::group_total(helpers::time_point now) const {
    sums added;
    add(this->members, now, added);
    return counts_of(added);
}

target_counts load_board::total(helpers::time_point now) const {
    sums added;
    add(this->members, now, added);
    add(this->groups, now, added);
    return counts_of(added);
}

} // namespace samphirespool::exchange
