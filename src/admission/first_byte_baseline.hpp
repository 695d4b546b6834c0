// Tells whether a target's first bytes have turned slow against its own past. Samples are times to
// the first byte divided by the size of the request, so that a change of the mix alone does not
// look like a slow target.
#pragma once

#include "helpers/time.hpp"

#include <cstdint>

namespace samphirespool::admission {

class first_byte_baseline {
public:
    // Nanoseconds per kibitoken of cost, with one kibitoken for the fixed part.
    static double normalise(helpers::duration first_byte, std::uint32_t cost_tokens);

    void add(double sample);

    // Consecutive samples above slow_factor times both the own past and the peers' mean (0: no
    // peers). All targets turning slow together is load, not a cold target.
    bool shifted(double peers_mean) const;

    double recent() const { return this->fast; }
    bool known() const { return this->samples >= min_samples; }

    // Forgets the samples that made the target look slow, but keeps the past.
    void restart();

    static constexpr double slow_factor = 4;
    static constexpr std::uint32_t slow_samples = 5;
    static constexpr std::uint32_t min_samples = 16;

private:
    static constexpr double fast_share = 0.3;
    static constexpr double slow_share = 0.05;

    double fast = 0;
    double slow = 0;
    std::uint32_t samples = 0;
    // Consecutive samples above slow_factor x slow. Such samples do not enter `slow`.
    std::uint32_t consecutive_slow = 0;
};

} // namespace samphirespool::admission
