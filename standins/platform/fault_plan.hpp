// Faults and rate limits of the platform stand-in: which calls fail, and how.
#pragma once

#include "helpers/time.hpp"
#include "kernel/random.hpp"

#include <cstdint>

namespace samphirespool::standins {

enum class fault_mode : std::uint8_t {
    up,
    down,
    slow,
    lost_answers,
};

struct fault_settings {
    fault_mode mode = fault_mode::up;
    // Delay of each reply in mode slow.
    helpers::duration delay{};
    // Share of the calls whose reply is lost in mode lost_answers, from 0 to 1.
    double lost_share = 0;
    std::uint64_t seed = 1;
};

// Outcome that the plan assigns to a call.
enum class call_outcome : std::uint8_t {
    replied,
    rejected,
    // The connection breaks before the call has any effect.
    lost_before_effect,
    // The call takes effect, then the connection breaks.
    lost_after_effect,
};

class fault_plan {
public:
    fault_plan() : random(1) {}
    void set(const fault_settings& wanted);
    // Draws the outcome of the next call.
    call_outcome next();
    // Delay of a reply; zero unless the mode is slow.
    helpers::duration delay() const;
    bool is_down() const { return this->settings.mode == fault_mode::down; }

private:
    fault_settings settings;
    kernel::random_source random;
};

// Token bucket whose burst is the rate of one second. A rate of 0 means no limit.
class rate_limit {
public:
    explicit rate_limit(double per_second) : per_second(per_second), tokens(per_second) {}
    // Consumes a token and returns true, or returns false if there is none.
    bool allow(helpers::time_point now);

private:
    double per_second;
    double tokens;
    helpers::time_point last{};
};

} // namespace samphirespool::standins
