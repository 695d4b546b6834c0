// The owner's side of the limits of organisations: divides what the free shares leave among the
// routers that report, in max-min fairness by what they want. A share counts as held until it
// lapses, also when its router is not heard of again.
#pragma once

#include "admission/limit_messages.hpp"

#include <unordered_map>
#include <vector>

namespace samphirespool::admission {

class limit_owner {
public:
    static constexpr helpers::duration share_validity = std::chrono::seconds(3);

    void set_limit(helpers::organisation_id organisation, const organisation_limit& limit);
    void set_routers(std::size_t count) { this->routers = count > 0 ? count : 1; }

    // Invariant of the answers: at any time the shares that have not lapsed add up to at most the
    // limit less all free shares, as long as limit and number of routers stay.
    limit_share report(const usage_report& usage, helpers::time_point now);

private:
    struct holding {
        double wanted_rate = 0;
        double rate = 0;
        double wanted_in_flight = 0;
        double in_flight = 0;
        helpers::time_point until;
    };

    using holdings = std::unordered_map<helpers::router_id, holding>;

    static double share_of(const holdings& all, helpers::router_id router, double pool,
                           double holding::*wanted, double holding::*held);

    std::size_t routers = 1;
    std::unordered_map<helpers::organisation_id, organisation_limit> limits;
    std::unordered_map<helpers::organisation_id, holdings> shares;
};

} // namespace samphirespool::admission
