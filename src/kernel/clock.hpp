// Source of time. Every component gets one through its constructor, so that tests and replay set
// the time themselves.
#pragma once

#include "helpers/time.hpp"

namespace samphirespool::kernel {

class clock {
public:
    virtual ~clock() = default;
    virtual helpers::time_point now() const = 0;
    virtual helpers::wall_milliseconds wall() const = 0;
};

class system_clock final : public clock {
public:
    helpers::time_point now() const override;
    helpers::wall_milliseconds wall() const override;
};

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
