// Exponentially decaying request counts.
#include "placement/prefix_rates.hpp"

#include <cmath>

namespace samphirespool::placement {

namespace {

// Time constant of the decay; long enough for several requests with one busy prefix.
constexpr double decay_time_s = 2.0;

} // namespace

double prefix_rates::decayed_count(const entry& stored, helpers::time_point now) {
    const std::chrono::duration<double> elapsed = now - stored.updated_at;
    return stored.count * std::exp(-elapsed.count() / decay_time_s);
}

double prefix_rates::rate(std::uint64_t prefix, helpers::time_point now) const {
    const auto found = this->entries.find(prefix);
    return found == this->entries.end() ? 0 : decayed_count(*found->second, now) / decay_time_s;
}

void prefix_rates::record(std::uint64_t prefix, helpers::time_point now) {
    const auto found = this->entries.find(prefix);
    if (found != this->entries.end()) {
        *found->second = {prefix, decayed_count(*found->second, now) + 1, now};
        this->recency.splice(this->recency.begin(), this->recency, found->second);
        return;
    }
    this->recency.push_front({prefix, 1, now});
    this->entries.emplace(prefix, this->recency.begin());
    if (this->recency.size() <= max_prefixes)
        return;
    this->entries.erase(this->recency.back().prefix);
    this->recency.pop_back();
}

} // namespace samphirespool::placement
