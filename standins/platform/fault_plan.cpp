// Chooses the calls that fail from a seeded random source.
#include "standins/platform/fault_plan.hpp"

#include <algorithm>

namespace samphirespool::standins {

void fault_plan::set(const fault_settings& wanted) {
    this->settings = wanted;
    this->random = kernel::random_source(wanted.seed);
}

call_outcome fault_plan::next() {
    if (this->settings.mode == fault_mode::down)
        return call_outcome::rejected;
    if (this->settings.mode != fault_mode::lost_answers)
        return call_outcome::replied;
    if (this->random.fraction() >= this->settings.lost_share)
        return call_outcome::replied;
    return this->random.below(2) == 0 ? call_outcome::lost_before_effect
                                      : call_outcome::lost_after_effect;
}

helpers::duration fault_plan::delay() const {
    return this->settings.mode == fault_mode::slow ? this->settings.delay : helpers::duration{};
}

bool rate_limit::allow(helpers::time_point now) {
    if (this->per_second <= 0)
        return true;
    const std::chrono::duration<double> elapsed = now - this->last;
    this->last = now;
    this->tokens = std::min(this->per_second, this->tokens + elapsed.count() * this->per_second);
    if (this->tokens < 1)
        return false;
    this->tokens -= 1;
    return true;
}

} // namespace samphirespool::standins
