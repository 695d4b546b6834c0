// Hybrid logical clock: wall time that never runs backwards over the messages of the fleet, so
// that the logs of all processes merge into one causal order.
#pragma once

#include "kernel/clock.hpp"

#include <compare>
#include <cstdint>

namespace samphirespool::kernel {

struct hybrid_time {
    helpers::wall_milliseconds wall = 0;
    std::uint32_t logical = 0;

    friend auto operator<=>(const hybrid_time&, const hybrid_time&) = default;
};

class hybrid_clock {
public:
    explicit hybrid_clock(const clock& physical) : physical(physical) {}

    // Time of a local event or of a message about to be sent.
    hybrid_time tick();

    // Takes the time of a received message into account. A message from further ahead than
    // max_lead is ignored, so that one wrong wall clock cannot drag the fleet along.
    hybrid_time observe(hybrid_time remote);

    static constexpr helpers::wall_milliseconds max_lead_ms = 60'000;

private:
    const clock& physical;
    // Invariant: never decreases.
    hybrid_time last;
};

} // namespace samphirespool::kernel
