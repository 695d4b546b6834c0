// This gateway's share of two limits that hold for all gateways together: retries of a service's
// requests, and requests to a cold target. Each gateway computes its share from its own member
// list, without messages. The shares sum to less than the limit even while the gateways' member
// lists differ by a few entries.
#pragma once

#include "admission/sliding_counts.hpp"
#include "helpers/ids.hpp"
#include "helpers/time.hpp"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace samphirespool::admission {

struct fleet_retry_limits {
    // Retries per request, over the window.
    double ratio = 0.2;
    // Retries in addition to that, over the window, of all gateways together.
    double burst = 50;
    helpers::duration window = std::chrono::seconds(10);
};

// This gateway's share of the retries that all gateways together may send; tracked per service.
class fleet_retry_budget {
public:
    explicit fleet_retry_budget(const fleet_retry_limits& limits) : limits(limits) {}

    void set_fleet_size(std::size_t members) { this->members = members; }
    void record_request(helpers::service_id service, helpers::time_point now);

    // Records a retry and returns true if the budget allows one.
    bool try_spend(helpers::service_id service, helpers::time_point now);

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
    using recent_usage = sliding_counts<usage, 10>;

    recent_usage& usage_of(helpers::service_id service);

    fleet_retry_limits limits;
    std::size_t members = 1;
    std::unordered_map<helpers::service_id, recent_usage> services;
};

struct cold_limits {
    // Limit for all gateways over one second: overage x the service's cold rate + slack requests.
    double overage = 1.0;
    double slack = 0;
};

// This gateway's share of the requests that all gateways together may send to a cold target.
class cold_target_share {
public:
    cold_target_share(std::string self, const cold_limits& limits)
        : self(std::move(self)), limits(limits) {}

    // Names of all gateways; this one is added if it is missing.
    void set_members(std::vector<std::string> names);

    // Returns whether this gateway may send a request to the cold target now. `rate` is the
    // service's limit in requests per second; `sent` holds the times of this gateway's sends to the
    // target.
    bool may_send(std::string_view target, double rate, const std::deque<helpers::time_point>& sent,
                  helpers::time_point now) const;

    // Slightly more than the second to which the rate refers, to allow for network delay.
    static constexpr helpers::duration window = std::chrono::milliseconds(1150);

private:
    std::size_t share_of(std::string_view target, double rate) const;

    std::string self;
    cold_limits limits;
    // Includes this process.
    std::vector<std::string> members;
};

} // namespace samphirespool::admission
