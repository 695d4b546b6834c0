// The grace period of a gateway that was told to stop: what it still begins, and when it ends what
// is in progress. A request is begun only if it ends within the period, so that it gets its
// response; otherwise its caller is told at once that it has not run.
#pragma once

#include "kernel/clock.hpp"

#include <optional>

namespace samphirespool::gateway {

class shutdown_window {
public:
    shutdown_window(const kernel::clock& time, helpers::duration grace)
        : time(time), grace(grace) {}

    void begin() { this->began_at = this->time.now(); }
    bool has_begun() const { return this->began_at.has_value(); }
    // Since begin(), which must have run.
    helpers::duration elapsed() const { return this->time.now() - *this->began_at; }

    // Whether a new request may be accepted.
    bool is_accepting() const { return !this->has_begun() || this->elapsed() <= accept_period; }
    // Whether a request that ends by then at the latest may be begun.
    bool admits(helpers::time_point latest_end) const {
        return !this->has_begun() || latest_end <= *this->began_at + this->grace - end_margin;
    }
    // Whether what is in progress has to end now.
    bool is_overdue() const {
        return this->has_begun() && this->elapsed() >= this->grace - end_margin;
    }

    // Retry-After of a refused request; other gateways serve it at once.
    static constexpr helpers::duration reconnect_delay = std::chrono::milliseconds(20);

private:
    // Callers are still sent here until load balancers have removed the gateway, which takes two
    // failed checks, one each second. Those that come later keep old connections.
    static constexpr helpers::duration accept_period = std::chrono::milliseconds(2800);
    // End of the period that is left for sending responses.
    static constexpr helpers::duration end_margin = std::chrono::milliseconds(500);

    const kernel::clock& time;
    helpers::duration grace;
    std::optional<helpers::time_point> began_at;
};

} // namespace samphirespool::gateway
