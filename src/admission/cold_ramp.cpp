// Slow start of cold targets in the ledger: growth and reduction of the allowance, and detection of
// warm targets that have become cold.
#include "admission/target_ledger.hpp"

#include <algorithm>

namespace samphirespool::admission {

void target_ledger::reset_incarnation(entry& tracked, helpers::time_point now) {
    tracked.initialised = true;
    tracked.first_bytes = {};
    tracked.untracked_requests = 0;
    tracked.untracked_tokens = 0;
    this->make_cold(tracked, now);
}

void target_ledger::make_cold(entry& tracked, helpers::time_point now) {
    tracked.allowance =
        std::max(1U, std::min(tracked.target.cold_allowance, tracked.target.warm_capacity));
    tracked.warm = tracked.allowance >= tracked.target.warm_capacity;
    tracked.successes = 0;
    tracked.failures = 0;
    tracked.allowance_changed = now;
}

void target_ledger::clamp_allowance(entry& tracked) {
    const auto most = std::max(1U, tracked.target.warm_capacity);
    tracked.allowance = tracked.warm ? most : std::clamp(tracked.allowance, 1U, most);
}

void target_ledger::halve_allowance(entry& tracked, helpers::time_point now) {
    tracked.allowance = std::max(1U, tracked.allowance / 2);
    tracked.warm = tracked.allowance >= tracked.target.warm_capacity;
    tracked.successes = 0;
    tracked.allowance_changed = now;
}

void target_ledger::record_success(entry& tracked, helpers::time_point now) {
    tracked.failures = 0;
    if (tracked.warm)
        return;
    ++tracked.successes;
    const auto window = std::max(ramp_successes, tracked.allowance);
    if (tracked.successes < window || now - tracked.allowance_changed < ramp_interval)
        return;
    const auto warm_capacity = std::max(1U, tracked.target.warm_capacity);
    tracked.allowance = std::min(2 * tracked.allowance, warm_capacity);
    tracked.warm = tracked.allowance == warm_capacity;
    tracked.successes = 0;
    tracked.allowance_changed = now;
}

void target_ledger::record_failure(entry& tracked, helpers::time_point now) {
    ++tracked.failures;
    if (!tracked.warm) {
        this->halve_allowance(tracked, now);
        return;
    }
    if (tracked.failures >= failures_until_cold)
        this->make_cold(tracked, now);
}

void target_ledger::record_first_byte(entry& tracked, std::uint32_t cost_tokens,
                                      helpers::duration first_byte, helpers::time_point now) {
    if (first_byte <= helpers::duration::zero()) {
        this->record_success(tracked, now);
        return;
    }
    const auto others_mean = this->other_targets_first_byte();
    const auto sample = first_byte_baseline::normalise(first_byte, cost_tokens);
    tracked.first_bytes.add(sample);
    if (tracked.warm && tracked.first_bytes.is_slow(others_mean)) {
        tracked.first_bytes.reset_recent();
        this->make_cold(tracked, now);
        return;
    }
    if (!tracked.warm && others_mean > 0 &&
        sample > first_byte_baseline::slow_factor * others_mean) {
        this->halve_allowance(tracked, now);
        return;
    }
    this->record_success(tracked, now);
}

double target_ledger::other_targets_first_byte() const {
    const auto targets = this->totals.first_byte_targets;
    return targets > 0 ? this->totals.first_bytes / targets : 0;
}

void target_ledger::restore_allowance(helpers::target_id target, std::uint64_t incarnation,
                                      std::uint32_t slots, helpers::time_point now) {
    auto* found = this->find(target);
    if (found == nullptr || found->target.incarnation != incarnation || found->warm)
        return;
    if (slots <= found->allowance)
        return;
    this->update(*found, [&](entry& tracked) {
        tracked.allowance = std::min(slots, std::max(1U, tracked.target.warm_capacity));
        tracked.warm = tracked.allowance >= tracked.target.warm_capacity;
        tracked.successes = 0;
        tracked.allowance_changed = now;
    });
}

} // namespace samphirespool::admission
