// Messages between routers about the rate and concurrency limits of organisations. A router reports
// an organisation only when it needs more than its free share there, so that the traffic depends on
// the few heavy organisations.
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

// From a router to the owner of the organisation's limit: its demand beyond the free share.
struct usage_report {
    helpers::organisation_id organisation;
    helpers::router_id router;
    // Requests per second.
    double wanted_rate = 0;
    std::uint32_t wanted_in_flight = 0;
    // Those of wanted_in_flight that are in flight already.
    std::uint32_t used_in_flight = 0;
};

// The owner's reply: what the router may use beyond its free share until the share expires.
struct limit_share {
    helpers::organisation_id organisation;
    // Requests per second.
    double rate = 0;
    std::uint32_t in_flight = 0;
    helpers::duration valid_for{};
};

// The part of a limit that each router may use without reporting: half of the limit divided by the
// number of routers. Slots are rounded down and a rate below 1 per second counts as 0, so that
// small limits have no free share.
struct free_share {
    double rate = 0;
    std::uint32_t in_flight = 0;
};

free_share free_share_of(const organisation_limit& limit, std::size_t routers);

// Returns the owner of an organisation's limit by rendezvous hashing: the same on every router with
// the same list. Returns an empty id if the list is empty.
helpers::router_id limit_owner_of(helpers::organisation_id organisation,
                                  std::span<const helpers::router_id> routers);

} // namespace samphirespool::admission
