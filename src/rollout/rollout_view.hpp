// What one gateway may send to which version of a service: derived from the orders and statuses in
// the store, and from the decider's directives.
#pragma once

#include "rollout/change_over.hpp"
#include "rollout/exposure_credit.hpp"
#include "rollout/order.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace samphirespool::rollout {

enum class side : std::uint8_t { any, old_versions, new_version };

struct view_settings {
    double exposure_share = 0.1;
    // Part of the requests that is spent on canary requests until the change-over; up to twice
    // as much in a service with few targets.
    double canary_share = 0.04;
};

// Targets of a service that may get requests.
struct served_target {
    std::string name;
    software_key software = 0;
    // When this gateway learned of it; see outcome::warm_up_time.
    helpers::time_point registered_at{};
};

class rollout_view {
public:
    rollout_view(const view_settings& settings, std::uint64_t seed);

    // The store's object of the service; absent if it was removed. Not called while the store
    // cannot be read: what was read remains.
    void set_order(service_key service, std::string_view name,
                   const std::optional<stored_order>& order, helpers::time_point now);
    // After each change of the targets, all of them. Not called before the targets have been read
    // completely: a version that seems to be the only one may be used without limit.
    void set_targets(service_key service, const std::vector<served_target>& targets);
    // A directive that was received. `transit` is an upper bound of the time since its sender
    // stated its age, for instance since the report that the message answers was sent. A message
    // may wait in a socket's buffer while this process is paused, so it must not be assumed to be
    // fresh. Returns whether it was accepted.
    bool merge(const directive& received, helpers::duration transit, helpers::time_point now);
    // Directives to be passed on, with their age.
    std::vector<directive> directives(helpers::time_point now) const;

    // Which versions a request of the route goes to. `is_retry`: a former attempt of the request
    // failed at the new version. `now` must count the time in which the machine was suspended, and
    // be read after the request was, or an expired lease permits sends. If no target of the new
    // version can take the request, it goes to the old versions and nothing is spent.
    side choose_side(service_key service, route_key route, bool is_retry, helpers::time_point now);
    // Whether a target may get a request of that side. Checked again just before the send.
    bool is_allowed(service_key service, std::string_view target, software_key software, side side,
                    helpers::time_point now) const;
    // Whether a stream that this version began may go on there. At the new version it needs no
    // credit, and after `reverted` it may go on for stream_grace.
    bool may_continue(service_key service, software_key software, helpers::time_point now) const;
    // Each request that was sent to a target, with whether it is the caller's first attempt.
    void on_sent(service_key service, route_key route, software_key software, bool is_first_attempt,
                 helpers::time_point now);
    // Times to the last byte of a route at the other versions; see evidence_log::total_times().
    void set_times(service_key service, route_key route, const duration_counts& times);

    // The order that the service has, and its phase as far as known.
    struct state {
        order_id order;
        software_key to = 0;
        rollout::phase phase = phase::observing;
        bool has_lease = false;
        std::int64_t credit = 0;
    };
    std::optional<state> find(service_key service, helpers::time_point now) const;

    // Shorter than the bound of the rollback (5 s) by the time until all gateways have learned it.
    static constexpr helpers::duration stream_grace = std::chrono::seconds(2);

private:
    struct route_state {
        // Canary requests that are due. Begins at a random phase, as exposure_credit does.
        double due = 0;
        std::uint64_t sent = 0;
        duration_counts times{};
        double canary_share = 0;
        // Of canary_share, while the panel is cold.
        double cold_part = 1;
        // Uses the new version for all requests.
        bool has_begun = false;
    };
    struct service_state {
        std::string name;
        std::optional<stored_order> order;
        order_id id;
        // What the directives of this order state; absent before the first.
        std::optional<rollout::phase> directed;
        // When the latest directive was issued, and the order's deadline according to it.
        helpers::time_point issued{};
        helpers::time_point deadline{};
        std::set<order_id> reverted_orders;
        // Versions of orders that were reverted or replaced. They get nothing until they are
        // ordered again.
        std::set<software_key> barred;
        // Versions of orders that were removed while they were running. They get nothing until
        // there are no others.
        std::set<software_key> withdrawn;
        // When each of these was barred or withdrawn.
        std::map<software_key, helpers::time_point> barred_at;
        std::vector<served_target> targets;
        // Place of each new target in the order in which they join the panel.
        std::map<std::string, std::size_t, std::less<>> panel_places;
        // When the first two of the panel are warm.
        helpers::time_point warm_at{};
        std::size_t new_targets = 0;
        std::size_t old_targets = 0;
        // Targets of other versions have been seen since the order.
        bool has_old = false;
        std::optional<exposure_credit> credit;
        std::map<route_key, route_state> routes;
        // First request after the order, for the rates of the routes.
        std::optional<helpers::time_point> counted_since;
        std::optional<helpers::time_point> planned_at;
        std::optional<helpers::time_point> shared_at;
    };

    static rollout::phase phase_of(const service_state& state);
    static bool has_lease(const service_state& state, helpers::time_point now);
    static bool is_only_version(const service_state& state);
    static void update_targets(service_state& state);
    std::size_t panel_size_at(const service_state& state, helpers::time_point now) const;
    void update_shares(service_state& state, helpers::time_point now) const;
    static bool is_barred(const service_state& state, software_key software);
    static void bar(service_state& state, software_key software, helpers::time_point now);
    static void leave_order(service_state& state, bool is_removed, helpers::time_point now);
    static void note_phase(service_state& state, helpers::time_point now);
    static void plan(service_state& state, helpers::time_point now);
    route_state& route_of(service_state& state, route_key route);
    bool is_new_due(service_state& state, route_key route, helpers::time_point now);

    view_settings settings;
    kernel::random_source random;
    std::map<service_key, service_state> services;
};

} // namespace samphirespool::rollout
