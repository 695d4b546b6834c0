// A router's part of the fleet-wide limits of organisations: its free share of each limit plus what
// the limit's owner has granted for a short time. Who is over the limit waits in the fair queue.
#pragma once

#include "admission/limit_messages.hpp"

#include <unordered_map>
#include <vector>

namespace samphirespool::admission {

class organisation_limits {
public:
    // How often a router reports the same organisation while it needs more than its free share.
    static constexpr helpers::duration report_interval = std::chrono::seconds(1);
    // An owner that has not answered for so long is taken as gone: until another one answers the
    // router uses its even part of the limit.
    static constexpr helpers::duration owner_timeout = std::chrono::seconds(2);

    explicit organisation_limits(helpers::router_id self) : self(self) {}

    // Replaces the limit; none is needed for an organisation without one.
    void set_limit(helpers::organisation_id organisation, const organisation_limit& limit);
    void remove_limit(helpers::organisation_id organisation);
    void set_routers(std::size_t count) { this->routers = count > 0 ? count : 1; }

    // A request of the organisation waits for its turn.
    void on_enqueued(helpers::organisation_id organisation);

    // A waiting request went away without its turn.
    void on_cancelled(helpers::organisation_id organisation);

    // Whether a waiting request may start now; it is then in flight. Asking again is harmless.
    bool try_start(helpers::organisation_id organisation, helpers::time_point now);

    // Ends a request that try_start() started.
    void finish(helpers::organisation_id organisation, helpers::time_point now);

    // The reports due now, for the owner of each limit. Call it every report_interval and after a
    // refused try_start().
    std::vector<usage_report> usage_reports(helpers::time_point now);

    void apply(const limit_share& share, helpers::time_point now);

    std::uint32_t in_flight(helpers::organisation_id organisation) const;

private:
    static constexpr helpers::duration urgent_interval = std::chrono::milliseconds(100);

    struct usage {
        organisation_limit limit;
        std::uint32_t in_flight = 0;
        std::uint32_t waiting = 0;
        std::uint32_t started_since_report = 0;
        bool refused_since_report = false;
        helpers::time_point last_report;
        // When the first report was sent that the owner has not answered; epoch: none open.
        helpers::time_point unanswered_since;
        double granted_rate = 0;
        std::uint32_t granted_in_flight = 0;
        helpers::time_point granted_until;
        // Token bucket of the rate. Invariant: at most one second's worth, or 1 if that is more.
        double tokens = 0;
        helpers::time_point tokens_at;
        bool seen = false;
    };

    struct allowed {
        double rate = 0;
        std::uint32_t in_flight = 0;
    };

    allowed allowed_now(const usage& used, helpers::time_point now) const;
    void refill(usage& used, double rate, helpers::time_point now) const;
    bool needs_report(const usage& used, helpers::time_point now) const;

    helpers::router_id self;
    std::size_t routers = 1;
    std::unordered_map<helpers::organisation_id, usage> organisations;
};

} // namespace samphirespool::admission
