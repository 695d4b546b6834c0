// Time as the whole library counts it: durations and points on a process-local monotonic scale.
#pragma once

#include <chrono>
#include <cstdint>

namespace samphirespool::helpers {

using duration = std::chrono::nanoseconds;

// Tag of the monotonic scale. It has no now(): a component reads time only from kernel::clock.
struct monotonic_scale {
    using duration = helpers::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_scale, duration>;
    static constexpr bool is_steady = true;
};

using time_point = monotonic_scale::time_point;

// What is left of a negative time is nothing.
inline std::uint64_t whole_milliseconds(duration time) {
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    return count < 0 ? 0 : static_cast<std::uint64_t>(count);
}

// Milliseconds since the Unix epoch. Only for people and logs, never for decisions.
using wall_milliseconds = std::int64_t;

} // namespace samphirespool::helpers
