// The number of gateways by which this gateway divides a limit of the whole fleet. Gateways learn
// of each other at different moments, so the number is the largest of the recent member lists, and
// there is none while this gateway may be unknown to others or they to it.
#pragma once

#include "helpers/time.hpp"

#include <cstddef>
#include <deque>
#include <optional>

namespace samphirespool::admission {

class share_divisor {
public:
    explicit share_divisor(helpers::time_point started_at) : started_at(started_at) {}

    // The member list, which contains this gateway, has this many members from now on.
    void set_members(std::size_t count, helpers::time_point now);
    // The store stated the current member list at this time.
    void on_confirmed(helpers::time_point at);

    // Nothing until all gateways have either seen this one or lost their own shares, and while the
    // member list is older than `lease`.
    std::optional<std::size_t> value(helpers::time_point now) const;

    // Longer than a follower's member list is old while the store is reachable.
    static constexpr helpers::duration lease = std::chrono::seconds(15);
    // Shares that were computed from an earlier member list have ended after this time, and what
    // was used of them is outside of every window. Consists of the lease, the longest window of a
    // limit and the length of a pause.
    static constexpr helpers::duration settling_time = lease + std::chrono::seconds(15);

private:
    struct earlier_list {
        helpers::time_point replaced_at{};
        std::size_t members = 0;
    };

    helpers::time_point started_at;
    std::size_t members = 0;
    std::optional<helpers::time_point> confirmed_at;
    // Oldest first.
    std::deque<earlier_list> earlier;
};

} // namespace samphirespool::admission
