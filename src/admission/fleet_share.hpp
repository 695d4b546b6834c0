// This gateway's share of the requests that all gateways together may send to a cold target. Each
// gateway computes its share from its own member list, without messages. The shares sum to less
// than the limit even while the gateways' member lists differ by a few entries.
#pragma once

#include "helpers/time.hpp"

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace samphirespool::admission {

struct cold_limits {
    // Limit for all gateways over one second: overage x the service's cold rate + slack requests.
    double overage = 1.0;
    double slack = 0;
};

class cold_target_share {
public:
    cold_target_share(std::string self, const cold_limits& limits, helpers::time_point started_at)
        : self(std::move(self)), limits(limits), started_at(started_at) {}

    // Names of all gateways; this one is added if it is missing. Until the first call there is no
    // share.
    void set_members(std::vector<std::string> names);

    // Returns whether this gateway may send a request to the cold target now; not within the first
    // window after its start, since the process before it may have sent some. `rate` is the
    // service's limit in requests per second; `sent` holds the times of this gateway's sends to the
    // target.
    bool may_send(std::string_view target, double rate, const std::deque<helpers::time_point>& sent,
                  helpers::time_point now) const;

    // Slightly more than the second to which the rate refers, to allow for network delay.
    static constexpr helpers::duration window = std::chrono::milliseconds(1150);

private:
    std::size_t share_of(std::string_view target, double rate) const;

    std::string self;
    cold_limits limits;
    helpers::time_point started_at;
    // Includes this process, unless it is empty.
    std::vector<std::string> members;
};

} // namespace samphirespool::admission
