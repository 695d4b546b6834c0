// Totals of requests in flight and results per target, from the latest report of each gateway.
#pragma once

#include "exchange/message.hpp"

#include <span>
#include <string>
#include <unordered_map>

namespace samphirespool::exchange {

// Counts that are limited in number.
struct top_counts {
    target_counts listed;
    // Upper bound of the requests in flight on any target that is not listed.
    std::uint32_t max_unlisted_in_flight = 0;
};

// Selects at most `limit` counts: first targets with more than one failure, then those with the
// most requests.
top_counts select_top(target_counts counts, std::size_t limit);

class load_aggregator {
public:
    void set_member_counts(const std::string& member, const std::string& data_centre,
                           target_counts counts, helpers::time_point now);
    // Sets the totals of another group, as reported by its hub.
    void set_group_counts(const std::string& group, target_counts counts, helpers::time_point now);

    // Returns the totals of this group. Reports older than max_report_age are left out: most of the
    // sender's requests have finished, and the targets' own occupancy reports cover the others.
    target_counts group_total(helpers::time_point now) const;
    // Returns the totals of all groups. same_data_centre holds the results of members of the given
    // data centre.
    target_counts total_for(const std::string& data_centre, helpers::time_point now) const;

    static constexpr helpers::duration max_report_age = std::chrono::milliseconds(1500);

private:
    struct entry {
        std::string data_centre;
        target_counts counts;
        helpers::time_point received_at{};
    };

    using entries = std::unordered_map<std::string, entry>;
    using sums = std::unordered_map<std::uint32_t, target_count>;

    static void accumulate(const entry& from, bool is_same_data_centre, sums& into);
    static target_counts counts_of(const sums& from);
    static void store(entries& into, const std::string& name, entry newest);

    entries members;
    entries groups;
};

} // namespace samphirespool::exchange
