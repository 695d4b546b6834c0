// The system clock, and the wall time of the manual clock.
#include "kernel/clock.hpp"

#include <ctime>

namespace samphirespool::kernel {

helpers::time_point system_clock::now() const {
    std::timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return helpers::time_point(std::chrono::seconds(value.tv_sec) +
                               std::chrono::nanoseconds(value.tv_nsec));
}

helpers::wall_milliseconds system_clock::wall() const {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

helpers::wall_milliseconds manual_clock::wall() const {
    const auto since_start = this->current.time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_start).count();
}

} // namespace samphirespool::kernel
