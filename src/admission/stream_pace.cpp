// Keeps the slowest pace of the current interval and of the one before.
#include "admission/stream_pace.hpp"

#include <algorithm>

namespace samphirespool::admission {

void stream_pace::record(std::uint64_t route, std::uint32_t tokens, helpers::duration taken,
                         helpers::time_point now) {
    if (tokens == 0)
        return;
    auto& pace = this->paces[route];
    if (now - pace.since >= interval) {
        pace.previous = now - pace.since < 2 * interval ? pace.current : helpers::duration::zero();
        pace.current = helpers::duration::zero();
        pace.since = now;
    }
    pace.current = std::max(pace.current, taken / tokens);
}

std::optional<helpers::duration> stream_pace::estimate(std::uint64_t route, std::uint32_t tokens,
                                                       helpers::time_point now) const {
    const auto found = this->paces.find(route);
    if (tokens == 0 || found == this->paces.end() || now - found->second.since >= 2 * interval)
        return std::nullopt;
    return std::max(found->second.current, found->second.previous) * tokens;
}

} // namespace samphirespool::admission
