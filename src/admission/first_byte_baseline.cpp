// Two moving averages of a target's first bytes.
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
        this->fast = sample;
        this->slow = sample;
    }
    ++this->samples;
    this->fast += fast_share * (sample - this->fast);
    if (this->known() && sample > slow_factor * this->slow) {
        ++this->consecutive_slow;
        return;
    }
    this->consecutive_slow = 0;
    this->slow += slow_share * (sample - this->slow);
}

bool first_byte_baseline::shifted(double peers_mean) const {
    return this->consecutive_slow >= slow_samples && this->fast > slow_factor * peers_mean;
}

void first_byte_baseline::restart() {
    this->consecutive_slow = 0;
    this->fast = this->slow;
}

} // namespace samphirespool::admission
