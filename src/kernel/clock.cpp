// The system clock, and the wall time of the manual clock.
#include "kernel/clock.hpp"

namespace samphirespool::kernel {

helpers::time_point system_clock::now() const {
    const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
    return helpers::time_point(std::chrono::duration_cast<helpers::duration>(since_start));
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
