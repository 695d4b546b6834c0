// Detects when a target's time to first byte becomes slow compared with its own history. Samples
// are normalised by the size of the request, so that a changed mix of requests alone does not make
// a target look slow.
#pragma once

#include "helpers/time.hpp"

#include <cstdint>

namespace samphirespool::admission {

class first_byte_baseline {
public:
    // Returns the sample of a request in nanoseconds per kibitoken of cost; one kibitoken is added
    // for the fixed part of the time.
    static double normalise(helpers::duration first_byte, std::uint32_t cost_tokens);

    void add(double sample);

    // Returns whether slow_samples consecutive samples exceeded slow_factor x the target's own
    // history and the recent average exceeds slow_factor x others_mean, the mean of the service's
    // other warm targets (0 if there are none). All targets slowing down together means load, not a
    // cold target.
    bool is_slow(double others_mean) const;

    double recent() const { return this->fast_average; }
    bool has_baseline() const { return this->samples >= min_samples; }

    // Discards the samples that made the target look slow and keeps the long-term average.
    void reset_recent();

    static constexpr double slow_factor = 4;
    static constexpr std::uint32_t slow_samples = 5;
    static constexpr std::uint32_t min_samples = 16;

private:
    static constexpr double fast_weight = 0.3;
    static constexpr double slow_weight = 0.05;

    // Exponential moving averages: recent samples, and the long-term history.
    double fast_average = 0;
    double slow_average = 0;
    std::uint32_t samples = 0;
    // Consecutive samples above slow_factor x slow_average; they are not added to slow_average.
    std::uint32_t consecutive_slow = 0;
};

} // namespace samphirespool::admission
