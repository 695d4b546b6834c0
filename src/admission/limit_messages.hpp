// What routers tell each other about the limits of organisations. Only routers where an
// organisation needs more than its free share report, so that traffic follows the heavy few.
#pragma once

#include "helpers/ids.hpp"
#include "helpers/time.hpp"

#include <cstdint>
#include <span>

namespace samphirespool::admission {

// The limits of one organisation in force, with the preset's factor applied. 0 means no limit.
struct organisation_limit {
    double requests_per_second = 0;
    std::uint32_t in_flight = 0;

    friend bool operator==(const organisation_limit&, const organisation_limit&) = default;
};

// From a router to the owner of the organisation's limit: what it would use beyond its free share.
struct usage_report {
    helpers::organisation_id organisation;
    helpers::router_id router;
    double wanted_rate = 0;
    std::uint32_t wanted_in_flight = 0;
    // Of these, in flight already.
    std::uint32_t used_in_flight = 0;
};

// The owner's answer: what the router may use beyond its free share until it lapses.
struct limit_share {
    helpers::organisation_id organisation;
    double rate = 0;
    std::uint32_t in_flight = 0;
    helpers::duration valid_for{};
};

// The part of a limit that each router may use unasked: half of the limit over all routers, rounded
// down, so that it is 0 where the limit is small.
struct free_share {
    double rate = 0;
    std::uint32_t in_flight = 0;
};

free_share free_share_of(const organisation_limit& limit, std::size_t routers);

// Picks the owner of an organisation's limit: the same on every router with the same list.
helpers::router_id limit_owner_of(helpers::organisation_id organisation,
                                  std::span<const helpers::router_id> routers);

} // namespace samphirespool::admission
