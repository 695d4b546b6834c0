// Token bucket that is refilled by requests.
#include "request/retry_budget.hpp"

#include <algorithm>

namespace samphirespool::request {

namespace {

// Slightly less than 1, so that ten requests at a share of 0.1 allow a retry despite rounding.
constexpr double min_balance = 1 - 1e-6;

} // namespace

void retry_budget::record_request() {
    this->balance = std::min(reserve, this->balance + this->share);
}

bool retry_budget::try_spend() {
    if (this->balance < min_balance)
        return false;
    this->balance = std::max(0.0, this->balance - 1);
    return true;
}

} // namespace samphirespool::request
