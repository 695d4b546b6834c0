// Which targets of a service fail far more of their requests than the rest, judged by the results
// of all gateways together: each of many gateways sends too little to one target to tell by itself.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace samphirespool::admission {

// What became of the requests that were sent to a target.
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

struct target_results {
    // Of the gateways of the judging one's data centre: a target may fail some callers only.
    result_counts own_data_centre;
    // Of the whole fleet.
    result_counts fleet;
};

// Indices of the outliers, the clearest first; never more than a third of the targets, since a
// cause that many share is not theirs.
std::vector<std::size_t> find_outliers(std::span<const target_results> among);

} // namespace samphirespool::admission
