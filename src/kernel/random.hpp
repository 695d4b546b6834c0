// Seeded pseudo-random number generator. Components use the generator that is passed to them, never
// a global one, so that a run can be reproduced from its seed.
#pragma once

#include <cstdint>
#include <random>

namespace samphirespool::kernel {

class random_source {
public:
    explicit random_source(std::uint64_t seed) : engine(seed) {}

    std::uint64_t next() { return this->engine(); }

    // Uniform in [0, bound). bound must be positive.
    std::uint64_t below(std::uint64_t bound) { return this->engine() % bound; }

    // Uniform in [0, 1).
    double fraction() { return static_cast<double>(this->engine() >> 11) * 0x1.0p-53; }

private:
    std::mt19937_64 engine;
};

} // namespace samphirespool::kernel
