// Keeps a bounded number of departed incarnations.
#include "discovery/departed_targets.hpp"

#include <algorithm>

namespace samphirespool::discovery {

void departed_targets::record(const target& removed, helpers::time_point now) {
    this->forget_oldest(now);
    this->departed_at[key_of(removed)] = now;
}

bool departed_targets::contains(const target& incarnation) const {
    return this->departed_at.contains(key_of(incarnation));
}

void departed_targets::forget(const target& incarnation) {
    this->departed_at.erase(key_of(incarnation));
}

void departed_targets::forget_oldest(helpers::time_point now) {
    std::erase_if(this->departed_at,
                  [now](const auto& each) { return now - each.second > remembered_for; });
    if (this->departed_at.size() < max_remembered)
        return;
    this->departed_at.erase(
        std::min_element(this->departed_at.begin(), this->departed_at.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; }));
}

} // namespace samphirespool::discovery
