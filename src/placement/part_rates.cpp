// Counts that fade exponentially.
#include "placement/part_rates.hpp"

#include <cmath>

namespace samphirespool::placement {

namespace {

// A request counts for about this long: long enough for several of one busy part.
constexpr double fading_s = 2.0;

} // namespace

double part_rates::faded(const entry& from, helpers::time_point now) {
    const std::chrono::duration<double> passed = now - from.at;
    return from.count * std::exp(-passed.count() / fading_s);
}

double part_rates::rate(std::uint64_t part, helpers::time_point now) const {
    const auto found = this->entries.find(part);
    return found == this->entries.end() ? 0 : faded(*found->second, now) / fading_s;
}

void part_rates::note(std::uint64_t part, helpers::time_point now) {
    const auto found = this->entries.find(part);
    if (found != this->entries.end()) {
        *found->second = {part, faded(*found->second, now) + 1, now};
        this->order.splice(this->order.begin(), this->order, found->second);
        return;
    }
    this->order.push_front({part, 1, now});
    this->entries.emplace(part, this->order.begin());
    if (this->order.size() <= max_parts)
        return;
    this->entries.erase(this->order.back().part);
    this->order.pop_back();
}

} // namespace samphirespool::placement
