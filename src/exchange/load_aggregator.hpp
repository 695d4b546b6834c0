// Sums of what gateways have on each target, from the newest report of each.
#pragma once

#include "exchange/message.hpp"

#include <span>
#include <string>
#include <unordered_map>

namespace samphirespool::exchange {

struct top_counts {
    target_counts listed;
    // Requests in progress on any of those left out.
    std::uint32_t max_unlisted_in_flight = 0;
};

// At most so many of the counts: targets that fail, then those with most requests.
top_counts select_top(target_counts counts, std::size_t limit);

class load_aggregator {
public:
    void set_member_counts(const std::string& member, const std::string& data_centre,
                           target_counts counts, helpers::time_point now);
    // The sum of another group, from its hub.
    void set_group_counts(const std::string& group, target_counts counts, helpers::time_point now);

    // Of this group. Reports that are too old are left out: their sender's requests have mostly
    // ended or will be seen in the targets' own reports.
    target_counts group_total(helpers::time_point now) const;
    // Of all groups, with what the members of the data centre have seen apart.
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
