// Detection of targets that fail far more of their requests than the other targets of the service,
// from the results of all gateways together: in a large fleet, a single gateway sends too few
// requests to one target to detect this on its own.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace samphirespool::admission {

// Results of requests that were sent to a target.
struct result_counts {
    std::uint32_t responses = 0;
    std::uint32_t failures = 0;

    std::uint32_t total() const { return this->responses + this->failures; }
    double failure_share() const {
        return this->total() == 0 ? 0 : static_cast<double>(this->failures) / this->total();
    }
    result_counts& operator+=(const result_counts& other) {
        this->responses += other.responses;
        this->failures += other.failures;
        return *this;
    }
    friend bool operator==(const result_counts&, const result_counts&) = default;
};

// Recent results of one target.
struct target_results {
    // From the gateways of this gateway's data centre: a target may fail only for some callers.
    result_counts same_data_centre;
    // From all gateways of the fleet.
    result_counts fleet;
};

// Returns the indices of the outliers, clearest first. Never more than a third of the targets: if
// more of them fail, the cause is not in the targets.
std::vector<std::size_t> find_outliers(std::span<const target_results> targets);

} // namespace samphirespool::admission
