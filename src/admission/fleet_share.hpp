// This process's part of allowances that all gateways share without messages: repeats of requests
// for a service, and requests to a cold target. The parts add up to less than the whole while the
// gateways' lists of each other differ by a few.
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
    // Repeats for each request, over the window.
    double ratio = 0.2;
    // Repeats beyond that, of the whole fleet.
    double burst = 50;
    helpers::duration window = std::chrono::seconds(10);
};

class fleet_retry_budget {
public:
    explicit fleet_retry_budget(const fleet_retry_limits& limits) : limits(limits) {}

    void set_fleet_size(std::size_t members) { this->members = members; }
    void record_request(helpers::service_id service, helpers::time_point now);

    // Counts a repeat if the budget allows it.
    bool try_spend(helpers::service_id service, helpers::time_point now);

private:
    struct usage {
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;

        usage& operator+=(const usage& other) {
            this->requests += other.requests;
            this->repeats += other.repeats;
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
    // Of the rate that the service states, and requests beyond it, over one second.
    double overage = 1.0;
    double slack = 0;
};

class cold_target_share {
public:
    cold_target_share(std::string self, const cold_limits& limits)
        : self(std::move(self)), limits(limits) {}

    void set_members(std::vector<std::string> names);

    // Whether this process may send to the cold target now. Times of sends are kept by the caller.
    bool may_send(std::string_view target, double rate, const std::deque<helpers::time_point>& sent,
                  helpers::time_point now) const;

    // A little more than the second over which the rate holds, as messages take their time.
    static constexpr helpers::duration window = std::chrono::milliseconds(1150);

private:
    std::size_t share_of(std::string_view target, double rate) const;

    std::string self;
    cold_limits limits;
    // Includes this process.
    std::vector<std::string> members;
};

} // namespace samphirespool::admission
