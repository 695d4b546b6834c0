// Bounds the share of requests that reach a new version, without any message: each request that a
// gateway sends to the service earns a part of a credit, and each one to the new version spends
// one. A gateway that restarts begins without credit, so the sum over all gateways stays within the
// share of what reaches the service, whatever gateways restart, pause or are partitioned.
#pragma once

#include "helpers/time.hpp"
#include "kernel/random.hpp"

#include <cstdint>

namespace samphirespool::rollout {

class exposure_credit {
public:
    // `share` is earned by each request. Whole credits are spent; the fraction begins at a random
    // phase, so that many gateways with few requests each earn the same share in the mean as few
    // gateways with many. `random` must be seeded anew in each process.
    exposure_credit(double share, kernel::random_source& random);

    // A request was sent to the service, at any version, at the caller's first attempt.
    void earn();
    // A request was sent to the new version. May go below 0 for what cannot be refused: streams
    // that go on at the version that began them.
    void spend() { --this->whole; }
    bool has_credit() const { return this->whole >= 1; }
    std::int64_t available() const { return this->whole; }

private:
    double share;
    // In [0, 1).
    double fraction;
    std::int64_t whole = 0;
};

} // namespace samphirespool::rollout
