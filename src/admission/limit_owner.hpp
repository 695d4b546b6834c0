// Owner side of the limits of organisations: divides the part of a limit that is not in free shares
// among the routers that report, with max-min fairness by their demand. A share counts as held
// until it expires, even if its router sends no further report.
#pragma once

#include "admission/limit_messages.hpp"

#include <unordered_map>
#include <vector>

namespace samphirespool::admission {

class limit_owner {
public:
    static constexpr helpers::duration share_validity = std::chrono::seconds(3);

    // Sets or replaces the limit of an organisation.
    void set_limit(helpers::organisation_id organisation, const organisation_limit& limit);
    void set_routers(std::size_t count) { this->routers = count > 0 ? count : 1; }

    // Records a router's demand and returns its share; an empty share if the organisation has no
    // limit. Invariant: the shares that have not expired sum to at most the limit minus all free
    // shares, while the limit and the number of routers do not change.
    limit_share report(const usage_report& usage, helpers::time_point now);

private:
    struct router_share {
        double wanted_rate = 0;
        double rate = 0;
        double wanted_in_flight = 0;
        double in_flight = 0;
        helpers::time_point expires_at;
    };

    using router_shares = std::unordered_map<helpers::router_id, router_share>;

    static double share_of(const router_shares& shares, helpers::router_id router, double pool,
                           double router_share::*wanted, double router_share::*held);

    std::size_t routers = 1;
    std::unordered_map<helpers::organisation_id, organisation_limit> limits;
    std::unordered_map<helpers::organisation_id, router_shares> shares;
};

} // namespace samphirespool::admission
