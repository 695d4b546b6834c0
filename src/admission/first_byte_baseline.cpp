// Moving averages of a target's time to first byte.
#include "admission/first_byte_baseline.hpp"

namespace samphirespool::admission {

namespace {

constexpr double tokens_per_unit = 1024;

} // namespace

double first_byte_baseline::normalise(helpers::duration first_byte, std::uint32_t cost_tokens) {
    return static_cast<double>(first_byte.count()) / (1 + cost_tokens / tokens_per_unit);
}

void first_byte_baseline::add(double sample) {
    if (this->samples == 0) {
        this->fast_average = sample;
        this->slow_average = sample;
    }
    ++this->samples;
    this->fast_average += fast_weight * (sample - this->fast_average);
    if (this->has_baseline() && sample > slow_factor * this->slow_average) {
        ++this->consecutive_slow;
        return;
    }
    this->consecutive_slow = 0;
    this->slow_average += slow_weight * (sample - this->slow_average);
}

bool first_byte_baseline::is_slow(double others_mean) const {
    return this->consecutive_slow >= slow_samples && this->fast_average > slow_factor * others_mean;
}

void first_byte_baseline::reset_recent() {
    this->consecutive_slow = 0;
    this->fast_average = this->slow_average;
}

} // namespace samphirespool::admission
