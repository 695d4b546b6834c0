// Implementation of the hybrid logical clock.
#include "kernel/hybrid_clock.hpp"

#include <algorithm>

namespace samphirespool::kernel {

hybrid_time hybrid_clock::tick() {
    const auto wall = this->physical.wall();
    if (wall > this->last.wall)
        this->last = {wall, 0};
    else
        ++this->last.logical;
    return this->last;
}

hybrid_time hybrid_clock::observe(hybrid_time remote) {
    if (remote.wall <= this->physical.wall() + max_lead_ms)
        this->last = std::max(this->last, remote);
    return this->tick();
}

} // namespace samphirespool::kernel
