// The results of rollouts that this gateway knows: its own, those of the members of its group, and
// those of other groups. A hub sends the sums of its group.
#pragma once

#include "exchange/message.hpp"
#include "rollout/evidence.hpp"

#include <map>
#include <string>

namespace samphirespool::gateway {

class rollout_evidence {
public:
    // Counts this gateway's own results.
    rollout::evidence_log& log() { return this->own_log; }

    // An order begins or goes on; the results of the service's other orders are dropped.
    void retain(rollout::service_key service, rollout::order_id order, rollout::software_key to);
    void end(rollout::service_key service);

    void merge(const std::string& sender, bool for_group, const exchange::rollout_row_list& rows);
    // The rows that have changed since the last call; all rows if the receiver may lack them, and
    // now and then, since a message may have been lost.
    exchange::rollout_row_list rows(bool for_group, bool is_first_to_receiver,
                                    helpers::time_point now);
    // Sums over all that this gateway knows.
    std::map<rollout::row_key, rollout::counts>
    totals(rollout::service_key service, rollout::order_id order, helpers::time_point now);

private:
    using row_map = std::map<rollout::row_key, rollout::counts>;

    void collect_own(helpers::time_point now);
    void merge_member(const std::string& name, const std::vector<rollout::evidence_row>& rows);
    void merge_group(const std::string& name, const std::vector<rollout::evidence_row>& rows);
    row_map sum(rollout::service_key service, rollout::order_id order, bool with_members,
                bool with_groups) const;

    rollout::evidence_log own_log;
    rollout::evidence_totals own;
    rollout::evidence_totals members;
    rollout::evidence_totals groups;
    std::map<rollout::service_key, rollout::order_id> orders;
    // The latest rows of each member and group.
    std::map<std::string, row_map> latest_of_members;
    std::map<std::string, row_map> latest_of_groups;
    // Number of restarts of each member.
    std::map<std::string, std::uint32_t> restarts;
    row_map last_sent;
    std::uint32_t sends = 0;
};

} // namespace samphirespool::gateway
