// How the ledger learns what a target bears: the ramp of a cold target and the signs that a warm
// one has turned cold.
#include "admission/target_ledger.hpp"

#include <algorithm>

namespace samphirespool::admission {

void target_ledger::start(entry& started, helpers::time_point now) {
    started.started = true;
    started.first_bytes = {};
    started.foreign_requests = 0;
    started.foreign_tokens = 0;
    this->make_cold(started, now);
}

void target_ledger::make_cold(entry& cooled, helpers::time_point now) {
    cooled.allowance =
        std::max(1U, std::min(cooled.target.cold_allowance, cooled.target.warm_capacity));
    cooled.warm = cooled.allowance >= cooled.target.warm_capacity;
    cooled.successes = 0;
    cooled.failures = 0;
    cooled.allowance_changed = now;
}

void target_ledger::fit_allowance(entry& fitted) {
    const auto most = std::max(1U, fitted.target.warm_capacity);
    fitted.allowance = fitted.warm ? most : std::clamp(fitted.allowance, 1U, most);
}

void target_ledger::halve(entry& failed, helpers::time_point now) {
    failed.allowance = std::max(1U, failed.allowance / 2);
    failed.warm = failed.allowance >= failed.target.warm_capacity;
    failed.successes = 0;
    failed.allowance_changed = now;
}

void target_ledger::learn_success(entry& succeeded, helpers::time_point now) {
    succeeded.failures = 0;
    if (succeeded.warm)
        return;
    ++succeeded.successes;
    const auto window = std::max(ramp_successes, succeeded.allowance);
    if (succeeded.successes < window || now - succeeded.allowance_changed < ramp_interval)
        return;
    const auto warm_capacity = std::max(1U, succeeded.target.warm_capacity);
    succeeded.allowance = std::min(2 * succeeded.allowance, warm_capacity);
    succeeded.warm = succeeded.allowance == warm_capacity;
    succeeded.successes = 0;
    succeeded.allowance_changed = now;
}

void target_ledger::learn_failure(entry& failed, helpers::time_point now) {
    ++failed.failures;
    if (!failed.warm) {
        this->halve(failed, now);
        return;
    }
    if (failed.failures >= failures_until_cold)
        this->make_cold(failed, now);
}

void target_ledger::learn_first_byte(entry& answered, std::uint32_t cost_tokens,
                                     helpers::duration first_byte, helpers::time_point now) {
    if (first_byte <= helpers::duration::zero()) {
        this->learn_success(answered, now);
        return;
    }
    const auto peers = this->peers_first_byte();
    const auto sample = first_byte_baseline::normalise(first_byte, cost_tokens);
    answered.first_bytes.add(sample);
    if (answered.warm && answered.first_bytes.shifted(peers)) {
        answered.first_bytes.restart();
        this->make_cold(answered, now);
        return;
    }
    if (!answered.warm && peers > 0 && sample > first_byte_baseline::slow_factor * peers) {
        this->halve(answered, now);
        return;
    }
    this->learn_success(answered, now);
}

double target_ledger::peers_first_byte() const {
    const auto targets = this->totals.first_byte_targets;
    return targets > 0 ? this->totals.first_bytes / targets : 0;
}

void target_ledger::restore_allowance(helpers::target_id target, std::uint64_t incarnation,
                                      std::uint32_t slots, helpers::time_point now) {
    auto* known = this->find(target);
    if (known == nullptr || known->target.incarnation != incarnation || known->warm)
        return;
    if (slots <= known->allowance)
        return;
    this->changing(*known, [&](entry& changed) {
        changed.allowance = std::min(slots, std::max(1U, changed.target.warm_capacity));
        changed.warm = changed.allowance >= changed.target.warm_capacity;
        changed.successes = 0;
        changed.allowance_changed = now;
    });
}

} // namespace samphirespool::admission
