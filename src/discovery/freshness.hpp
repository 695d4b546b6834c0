// How old the content of a feed may be, derived from the time within which a change must be in
// force on every gateway.
#pragma once

#include "helpers/time.hpp"

namespace samphirespool::discovery {

// For this long after the source has come back from an older copy, the copy does not undo what was
// known: writers write again within seconds, and the entry of a target that has stopped lapses.
constexpr helpers::duration restored_copy_time = std::chrono::seconds(10);

struct freshness_limits {
    explicit freshness_limits(helpers::duration change_bound)
        : reader_wait(change_bound / 6),
          batch_delay(change_bound / 16),
          hub_age(change_bound * 2 / 5),
          lost_age(change_bound * 11 / 20),
          follower_age(change_bound * 7 / 10),
          settling_time(change_bound / 4) {}

    // Long-poll timeout of the gateway that watches the source for the fleet. Its content is
    // confirmed this often, and a failed connection is noticed within it.
    helpers::duration reader_wait;
    // Delay between a response with changes and the next watch, so that changes in quick succession
    // need one call only.
    helpers::duration batch_delay;
    // A hub whose content is older than this queries the source itself. Leaves time for its
    // followers to receive the change before their content exceeds follower_age.
    helpers::duration hub_age;
    // Content from a peer that is older than this counts as lost. While all gateways work, its age
    // stays below: it consists of the reader's wait and delay, and of two reports with their
    // replies.
    helpers::duration lost_age;
    // A follower whose content is older than this queries the source itself. The rest of the bound
    // covers the call and a retry on a new connection.
    helpers::duration follower_age;
    // After this time a gateway that registered reads the member list again, which then contains
    // the gateways that started with it.
    helpers::duration settling_time;
};

} // namespace samphirespool::discovery
