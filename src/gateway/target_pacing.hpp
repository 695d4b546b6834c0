// Applies the slow start of targets and their current speeds in the services for which they are
// switched on. Keeps each service's usual time to first byte, and logs what happens to the windows.
#pragma once

#include "admission/target_load.hpp"
#include "admission/target_pace.hpp"
#include "admission/target_speeds.hpp"
#include "discovery/target_catalog.hpp"
#include "kernel/event.hpp"

#include <unordered_map>

namespace samphirespool::gateway {

enum class pacing_mode : std::uint8_t {
    off,
    // Only in services whose targets state their speed.
    reported,
    on,
};

// `off` and `on`; all other texts are the default, `reported`.
pacing_mode parse_pacing_mode(std::string_view text);

class target_pacing {
public:
    target_pacing(kernel::event_sink& events, const std::string& self, pacing_mode mode)
        : events(events), mode(mode), pace(self) {
        this->pace.set_members({self});
    }

    void set_members(std::vector<std::string> names) { this->pace.set_members(std::move(names)); }

    // The target has sent this report with a response.
    void on_report(const discovery::tracked_target& target,
                   const admission::occupancy_report& report, helpers::time_point now);
    // Time that work takes at the target relative to the usual time.
    double slowness(const discovery::tracked_target& target, helpers::time_point now) const;

    admission::target_speed_list announcements(helpers::time_point now) const;
    void merge_speeds(const admission::target_speed_list& received,
                      const discovery::target_catalog& catalog, helpers::time_point now);

    // Whether the target is away: not eligible, on trial after failures, or suspected. Its window
    // opens when it comes back.
    void observe(const discovery::tracked_target& target, bool is_away, helpers::time_point now);
    bool may_send(const discovery::tracked_target& target, std::uint32_t own_in_flight,
                  helpers::time_point now) const;
    // The response has begun, or a response without parts is complete.
    void on_answer(const discovery::tracked_target& target, helpers::duration time,
                   std::uint64_t prompt_tokens, helpers::time_point now);
    // The target has rejected a request, failed or not responded in time.
    void on_bad_answer(const discovery::tracked_target& target, helpers::time_point now);
    void on_totals(const discovery::tracked_target& target, const admission::pace_totals& totals,
                   helpers::time_point now);
    // Begins an update of the totals of a service. While more than half of its targets have a
    // window, the windows are not applied: the requests have nowhere else to go.
    void set_service_size(helpers::service_id service, std::size_t targets, std::size_t paced);
    void evict(helpers::time_point now) { this->pace.evict(now); }

    bool is_active(helpers::service_id service, helpers::time_point now) const;
    bool is_paced(const discovery::tracked_target& target) const {
        return this->pace.is_open(target.incarnation_hash);
    }
    std::size_t paced_targets() const { return this->pace.open_count(); }
    std::size_t changed_speeds(helpers::time_point now) const {
        return this->speeds.changed_count(now);
    }

private:
    struct service_state {
        // When a target last stated its speed.
        std::optional<helpers::time_point> stated_at;
        // Moving average of the times to first byte, per kibitoken of the prompt; see
        // admission::first_byte_baseline::normalise().
        double usual = 0;
        std::uint32_t samples = 0;
        bool is_mostly_paced = false;
    };

    void log(admission::pace_change change, const discovery::tracked_target& target) const;

    kernel::event_sink& events;
    pacing_mode mode;
    admission::target_pace pace;
    admission::target_speeds speeds;
    std::unordered_map<helpers::service_id, service_state> services;
};

} // namespace samphirespool::gateway
