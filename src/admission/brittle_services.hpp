// Services whose targets say that they are brittle: one that has to turn away more than a few
// requests within a second for want of room falls over. Their slots are divided among the gateways
// by the member list, since counts of requests in progress are older than many requests last. A
// gateway that is turned away all the same leaves the target alone for so long that the fleet's
// rejections stay below the number.
#pragma once

#include "helpers/ids.hpp"
#include "helpers/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace samphirespool::admission {

// Reads the number of rejections a second that a target bears. Returns nothing if the text is not a
// whole number.
std::optional<std::uint32_t> parse_rejection_limit(std::string_view text);

class brittle_services {
public:
    // By the serial of the target's incarnation.
    using target_id = std::uint64_t;

    explicit brittle_services(std::string self) : self(std::move(self)) {}

    // Names of all gateways. Until the first call this gateway has no slots of its own.
    void set_members(std::vector<std::string> names) { this->members = std::move(names); }

    // A target of the service has responded; `limit` is empty if it does not say that it is
    // brittle. Returns whether the service becomes brittle with it.
    bool on_response(helpers::service_id service, std::optional<std::uint32_t> limit,
                     helpers::time_point now);
    // A target of a brittle service has turned a request away.
    void on_rejection(helpers::service_id service, target_id target, helpers::time_point now);

    // A request was assigned to a target of the service.
    void on_sent(helpers::service_id service, helpers::time_point now);

    bool is_brittle(helpers::service_id service) const { return this->services.contains(service); }
    // Whether a target may get one more request of this gateway, which has `own` in progress there.
    bool may_send(helpers::service_id service, target_id target, std::string_view name,
                  std::uint32_t slots, std::uint32_t own, helpers::time_point now) const;

    // A service is brittle until a response does not say so, which is later than the latest one
    // that does by more than settling_time. A gateway that has no slots of its own, and so gets no
    // responses, sends one request in each trial_interval to hear.
    static constexpr helpers::duration settling_time = std::chrono::milliseconds(500);
    static constexpr helpers::duration trial_interval = std::chrono::seconds(3);

private:
    struct brittle_state {
        std::uint32_t limit = 0;
        helpers::time_point said_at{};
        helpers::time_point next_trial{};
    };

    // Slots of a target that are this gateway's own. The parts of all gateways add up to its slots.
    std::uint32_t part_of(std::string_view target, std::uint32_t slots) const;

    std::string self;
    std::vector<std::string> members;
    std::unordered_map<helpers::service_id, brittle_state> services;
    std::unordered_map<target_id, helpers::time_point> rejected_until;
};

} // namespace samphirespool::admission
