// Earning of credit for requests to a new version.
#include "rollout/exposure_credit.hpp"

namespace samphirespool::rollout {

exposure_credit::exposure_credit(double share, kernel::random_source& random)
    : share(share), fraction(random.fraction()) {}

void exposure_credit::earn() {
    this->fraction += this->share;
    if (this->fraction < 1)
        return;
    this->fraction -= 1;
    ++this->whole;
}

} // namespace samphirespool::rollout
