// Counts consecutive failures of each path.
#include "admission/target_paths.hpp"

#include <algorithm>

namespace samphirespool::admission {

void target_paths::on_connect_failed(target_id target) {
    this->add_failures(target, 1);
}

void target_paths::on_silent(target_id target) {
    this->add_failures(target, 0);
}

void target_paths::on_probed(target_id target, bool has_connected) {
    if (!has_connected) {
        this->add_failures(target, failures_to_break);
        return;
    }
    const bool was_broken = this->is_broken(target);
    this->failures.erase(target);
    if (was_broken && this->change_handler)
        this->change_handler(target, false);
}

void target_paths::add_failures(target_id target, std::uint32_t count) {
    const bool was_broken = this->is_broken(target);
    this->failures[target] += count;
    if (this->doubt_handler)
        this->doubt_handler(target);
    if (!was_broken && this->is_broken(target) && this->change_handler)
        this->change_handler(target, true);
}

bool target_paths::is_broken(target_id target) const {
    const auto found = this->failures.find(target);
    return found != this->failures.end() && found->second >= failures_to_break;
}

std::size_t target_paths::broken_count() const {
    return static_cast<std::size_t>(
        std::count_if(this->failures.begin(), this->failures.end(),
                      [](const auto& each) { return each.second >= failures_to_break; }));
}

} // namespace samphirespool::admission
