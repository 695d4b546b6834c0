// Hybrid logical clock (HLC): wall time with a logical counter that never decreases along the
// messages of the fleet, so that the logs of all processes merge into one causal order.
#pragma once

#include "kernel/clock.hpp"

#include <compare>
#include <cstdint>

namespace samphirespool::kernel {

struct hybrid_time {
    helpers::wall_milliseconds wall = 0;
    // Orders events of the same millisecond.
    std::uint32_t logical = 0;

    friend auto operator<=>(const hybrid_time&, const hybrid_time&) = default;
};

class hybrid_clock {
public:
    explicit hybrid_clock(const clock& physical) : physical(physical) {}

    // Returns the time of a local event or of a message that is about to be sent.
    hybrid_time tick();

    // Advances the clock past the time of a received message and returns the time of the receipt. A
    // message time more than max_lead_ms ahead of the local wall clock is ignored, so that one
    // wrong wall clock cannot move the clocks of the whole fleet.
    hybrid_time observe(hybrid_time remote);

    static constexpr helpers::wall_milliseconds max_lead_ms = 60'000;

private:
    const clock& physical;
    // Invariant: never decreases.
    hybrid_time last;
};

} // namespace samphirespool::kernel
