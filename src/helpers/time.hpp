// Time types of all components: durations and time points of a process-local monotonic clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace samphirespool::helpers {

using duration = std::chrono::nanoseconds;

// Clock type of time_point. It has no now(): components read the time only from kernel::clock.
struct monotonic_scale {
    using duration = helpers::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_scale, duration>;
    static constexpr bool is_steady = true;
};

using time_point = monotonic_scale::time_point;

// Whole milliseconds of a duration, rounded down; 0 for a negative one, such as the time that
// remains after a deadline.
inline std::uint64_t whole_milliseconds(duration time) {
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    return count < 0 ? 0 : static_cast<std::uint64_t>(count);
}

// Milliseconds since the Unix epoch. Only for people and logs, never for decisions.
using wall_milliseconds = std::int64_t;

} // namespace samphirespool::helpers
