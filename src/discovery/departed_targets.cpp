// Keeps a bounded number of departed incarnations.
#include "discovery/departed_targets.hpp"

#include <algorithm>

namespace samphirespool::discovery {

void departed_targets::record(const target& removed, bool is_leaving, helpers::time_point now) {
    this->forget_oldest(now);
    this->departures[key_of(removed)] = {now, is_leaving};
}

bool departed_targets::contains(const target& incarnation) const {
    return this->departures.contains(key_of(incarnation));
}

bool departed_targets::is_leaving(const target& incarnation) const {
    const auto found = this->departures.find(key_of(incarnation));
    return found != this->departures.end() && found->second.is_leaving;
}

void departed_targets::forget(const target& incarnation) {
    this->departures.erase(key_of(incarnation));
}

void departed_targets::forget_oldest(helpers::time_point now) {
    std::erase_if(this->departures,
                  [now](const auto& each) { return now - each.second.at > remembered_for; });
    if (this->departures.size() < max_remembered)
        return;
    this->departures.erase(
        std::min_element(this->departures.begin(), this->departures.end(),
                         [](const auto& a, const auto& b) { return a.second.at < b.second.at; }));
}

} // namespace samphirespool::discovery
