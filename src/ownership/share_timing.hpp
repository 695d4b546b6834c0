// Timeouts and intervals of the share leases.
#pragma once

#include "helpers/time.hpp"

namespace samphirespool::ownership {

struct share_timing {
    // A follower follows no other owner for this long after it received a challenge.
    helpers::duration lease = std::chrono::milliseconds(1200);
    // The owner treats a lease as this much shorter, for clocks that run at different speeds.
    helpers::duration drift_margin = std::chrono::milliseconds(50);
    // Between two challenges to the same follower.
    helpers::duration challenge_period = std::chrono::milliseconds(500);
    // Longest time between a grant and the end of its request.
    helpers::duration max_grant_duration = std::chrono::minutes(11);
    // How long the view must show another desired owner before a follower leaves one that still
    // replies.
    helpers::duration min_stable_view = std::chrono::seconds(1);
    // Between retries of a follow or unfollow that was not confirmed.
    helpers::duration follow_retry = std::chrono::milliseconds(100);
    // Between retries of a reserve without a reply.
    helpers::duration reserve_retry = std::chrono::milliseconds(250);
    // Between retries of a reserve that waits in the owner's queue.
    helpers::duration queued_retry = std::chrono::seconds(1);
    // How long an owner waits for a witness to reply.
    helpers::duration witness_retry = std::chrono::milliseconds(300);
    // The holder of a grant sends its request within this time.
    helpers::duration send_within = std::chrono::seconds(5);
    // Added to a request's deadline before an owner treats the request as finished.
    helpers::duration expiry_grace = std::chrono::seconds(2);
    helpers::duration tick_interval = std::chrono::milliseconds(50);
};

} // namespace samphirespool::ownership
