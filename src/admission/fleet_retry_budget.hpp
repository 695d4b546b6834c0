// This gateway's share of the retries that all gateways together may send, tracked per service. It
// consists of a part of the gateway's own requests, and of an equal share of the burst. The shares
// sum to less than the fleet's budget over any window, also if gateways restart within it: what an
// earlier process has sent is unknown to the next one, so each leaves room for its successor.
#pragma once

#include "admission/share_divisor.hpp"
#include "admission/sliding_counts.hpp"
#include "helpers/ids.hpp"
#include "helpers/time.hpp"

#include <cstdint>
#include <unordered_map>

namespace samphirespool::admission {

struct fleet_retry_limits {
    // Retries per request, over the window.
    double ratio = 0.2;
    // Retries in addition to that, over the window, of all gateways together.
    double burst = 50;
    helpers::duration window = std::chrono::seconds(10);
};

class fleet_retry_budget {
public:
    fleet_retry_budget(const fleet_retry_limits& limits, helpers::time_point started_at)
        : limits(limits), started_at(started_at), divisor(started_at) {}

    // See share_divisor. Without a divisor this gateway has no share of the burst.
    void set_members(std::size_t count, helpers::time_point now) {
        this->divisor.set_members(count, now);
    }
    void on_members_confirmed(helpers::time_point at) { this->divisor.on_confirmed(at); }

    void record_request(helpers::service_id service, helpers::time_point now);

    // Records a retry and returns true if the budget allows one.
    bool try_spend(helpers::service_id service, helpers::time_point now);

    struct state {
        // Retries that are left to this gateway now, at most.
        double left = 0;
        double burst_share = 0;
        // An earlier process may have sent retries within the window.
        bool has_restarted = true;
    };
    state state_of(helpers::service_id service, helpers::time_point now) const;

private:
    struct usage {
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;

        usage& operator+=(const usage& other) {
            this->requests += other.requests;
            this->retries += other.retries;
            return *this;
        }
    };
    static constexpr std::size_t slices = 20;
    using recent_usage = sliding_counts<usage, slices>;

    bool has_restarted(helpers::time_point now) const;
    double burst_share(helpers::time_point now) const;
    double left(const recent_usage& counts, helpers::time_point now) const;

    fleet_retry_limits limits;
    helpers::time_point started_at;
    share_divisor divisor;
    std::unordered_map<helpers::service_id, recent_usage> services;
};

} // namespace samphirespool::admission
