// Clock interface. Every component receives a clock through its constructor, so that tests and
// trace replay control the time.
#pragma once

#include "helpers/time.hpp"

namespace samphirespool::kernel {

class clock {
public:
    virtual ~clock() = default;
    // Monotonic time, for timeouts and decisions. Includes the time in which the machine was
    // suspended, so that data read before does not pass for recent.
    virtual helpers::time_point now() const = 0;
    // Wall time of the machine; may jump, see wall_milliseconds.
    virtual helpers::wall_milliseconds wall() const = 0;
};

// Reads the operating system's clocks.
class system_clock final : public clock {
public:
    helpers::time_point now() const override;
    helpers::wall_milliseconds wall() const override;
};

// A clock for tests and replay that changes only by advance(). Its wall time equals its monotonic
// time.
class manual_clock final : public clock {
public:
    helpers::time_point now() const override { return this->current; }
    helpers::wall_milliseconds wall() const override;
    void advance(helpers::duration step) { this->current += step; }

private:
    // Invariant: never decreases.
    helpers::time_point current{};
};

} // namespace samphirespool::kernel
