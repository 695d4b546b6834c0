// A router's share of the fleet-wide limits of organisations: its free share of each limit plus the
// share that the limit's owner has granted for a short time. Requests over the limit wait in the
// fair queue.
#pragma once

#include "admission/limit_messages.hpp"

#include <unordered_map>
#include <vector>

namespace samphirespool::admission {

class organisation_limits {
public:
    // Interval at which a router reports an organisation that needs more than its free share.
    // Reports after a rejection may follow at urgent_interval.
    static constexpr helpers::duration report_interval = std::chrono::seconds(1);
    // An owner that has not replied for this long counts as unreachable. Until an owner replies
    // again, the router may use at least the limit divided by the number of routers, and at least
    // one slot.
    static constexpr helpers::duration owner_timeout = std::chrono::seconds(2);

    explicit organisation_limits(helpers::router_id self) : self(self) {}

    // Sets or replaces the limit of an organisation. Organisations without a limit need no call.
    void set_limit(helpers::organisation_id organisation, const organisation_limit& limit);
    void remove_limit(helpers::organisation_id organisation);
    void set_routers(std::size_t count) { this->routers = count > 0 ? count : 1; }

    // A request of the organisation was enqueued.
    void on_enqueued(helpers::organisation_id organisation);

    // A waiting request was removed from the queue without having started.
    void on_cancelled(helpers::organisation_id organisation);

    // Starts a waiting request if the limits allow it: returns true and counts it as in flight. May
    // be called again after it returned false.
    bool try_start(helpers::organisation_id organisation, helpers::time_point now);

    // Ends a request that try_start() started.
    void finish(helpers::organisation_id organisation, helpers::time_point now);

    // Returns the reports that are due, each for the owner of its limit. Call it every
    // report_interval and after try_start() returned false.
    std::vector<usage_report> usage_reports(helpers::time_point now);

    // Applies the owner's reply.
    void apply(const limit_share& share, helpers::time_point now);

    std::uint32_t in_flight(helpers::organisation_id organisation) const;

private:
    // Shortest time between two reports of an organisation.
    static constexpr helpers::duration urgent_interval = std::chrono::milliseconds(100);

    struct usage {
        organisation_limit limit;
        std::uint32_t in_flight = 0;
        std::uint32_t waiting = 0;
        std::uint32_t started_since_report = 0;
        bool rejected_since_report = false;
        helpers::time_point last_report;
        // When the first report was sent that has no reply yet; the epoch if there is none.
        helpers::time_point unreplied_since;
        double granted_rate = 0;
        std::uint32_t granted_in_flight = 0;
        helpers::time_point granted_valid_until;
        // Token bucket for the rate. Invariant: at most one second of the rate, or 1 if that is
        // more.
        double tokens = 0;
        helpers::time_point tokens_at;
        bool bucket_initialised = false;
    };

    // What this router may use of a limit.
    struct allowance {
        double rate = 0;
        std::uint32_t in_flight = 0;
    };

    allowance current_allowance(const usage& state, helpers::time_point now) const;
    void refill(usage& state, double rate, helpers::time_point now) const;
    bool needs_report(const usage& state, helpers::time_point now) const;

    helpers::router_id self;
    std::size_t routers = 1;
    std::unordered_map<helpers::organisation_id, usage> organisations;
};

} // namespace samphirespool::admission
