// A token bucket that requests fill.
#include "request/retry_budget.hpp"

#include <algorithm>

namespace samphirespool::request {

namespace {

// Ten times a share of 0.1 must make one retry in spite of rounding.
constexpr double whole_retry = 1 - 1e-6;

} // namespace

void retry_budget::record_request() {
    this->saved = std::min(reserve, this->saved + this->share);
}

bool retry_budget::try_spend() {
    if (this->saved < whole_retry)
        return false;
    this->saved = std::max(0.0, this->saved - 1);
    return true;
}

} // namespace samphirespool::request
