// Times of the share leases.
#pragma once

#include "helpers/time.hpp"

namespace samphirespool::ownership {

struct share_timing {
    // A follower follows no one else for this long after it received a challenge.
    helpers::duration lease = std::chrono::milliseconds(1200);
    // The owner counts a share this much shorter, for clocks that run at different speeds.
    helpers::duration drift_margin = std::chrono::milliseconds(50);
    helpers::duration challenge_period = std::chrono::milliseconds(500);
    // Longest time between a grant and the end of its request.
    helpers::duration longest_grant = std::chrono::minutes(11);
    // How long another owner must be the right one before a follower leaves one that answers.
    helpers::duration stable_view = std::chrono::seconds(1);
    helpers::duration follow_retry = std::chrono::milliseconds(100);
    helpers::duration reserve_retry = std::chrono::milliseconds(250);
    helpers::duration queued_retry = std::chrono::seconds(1);
    helpers::duration witness_retry = std::chrono::milliseconds(300);
    // The holder of a grant sends its request within this time.
    helpers::duration send_within = std::chrono::seconds(5);
    // Added to a request's deadline before an owner takes it for ended.
    helpers::duration end_grace = std::chrono::seconds(2);
    helpers::duration tick = std::chrono::milliseconds(50);
};

} // namespace samphirespool::ownership
