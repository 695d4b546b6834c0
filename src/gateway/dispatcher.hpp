// Assigns requests to targets. Tracks the load and health of each target, applies the budgets that
// all gateways share, and queues requests while no target has capacity.
#pragma once

#include "admission/brittle_services.hpp"
#include "admission/fair_start_tags.hpp"
#include "admission/fleet_retry_budget.hpp"
#include "admission/fleet_share.hpp"
#include "admission/quiet_times.hpp"
#include "admission/sliding_counts.hpp"
#include "admission/target_limits.hpp"
#include "admission/target_load.hpp"
#include "admission/target_paths.hpp"
#include "discovery/target_catalog.hpp"
#include "exchange/message.hpp"
#include "gateway/target_pacing.hpp"
#include "gateway/version_policy.hpp"
#include "kernel/error.hpp"
#include "kernel/event.hpp"
#include "kernel/loop.hpp"
#include "placement/target_choice.hpp"
#include "routing/route_table.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace samphirespool::gateway {

// The target of one attempt. Its owner calls dispatcher::on_attempt_finished() exactly once for it.
struct assignment {
    std::shared_ptr<const discovery::tracked_target> target;
    std::uint64_t prompt_tokens = 0;
    helpers::time_point sent_at{};
    // The target has not processed the prompt yet.
    bool prompt_pending = true;
    // The versions among which it was chosen.
    rollout::side side = rollout::side::any;
    // A target from which this one can fetch the shared prefix of the prompt.
    std::optional<helpers::endpoint> prefix_holder;
};

enum class attempt_result : std::uint8_t {
    succeeded,
    failed,
    // No connection could be established, which may be due to the path or to the target.
    unreachable,
    // Says nothing about the target's health, for example because the caller disconnected.
    neutral,
};

// A request that needs a target.
struct dispatch_request {
    helpers::service_id service;
    const placement::prompt* prompt = nullptr;
    std::uint32_t priority = 0;
    helpers::organisation_id organisation;
    // If the request is assigned later than this, its response will miss the latency objective.
    helpers::time_point objective_assign_by{};
    // If set, only targets of this software version are assigned; see discovery::software_hash().
    std::optional<std::uint32_t> software;
    rollout::route_key route = 0;
    // An earlier attempt has reached a target.
    bool is_retry = false;
    // Set by the dispatcher.
    rollout::side side = rollout::side::any;
    // The request is rejected if it has no target by then.
    helpers::time_point queue_deadline{};
    // Set by the dispatcher.
    helpers::time_point submitted_at{};
    // Serials of the targets of earlier attempts, which are not assigned again.
    std::vector<std::uint64_t> tried_targets;
    // One of these is called once, unless the request is cancelled.
    std::function<void(assignment)> on_assigned;
    std::function<void(kernel::error)> on_rejected;
    // If set, called instead if the request's target can be reached through another gateway only.
    // If not set, only targets to which this gateway has a path are assigned.
    std::function<void()> on_no_path;
};

struct dispatch_settings {
    std::string own_name;
    std::string data_centre;
    std::string engine_choice = "shared_part";
    std::string plain_choice = "least_loaded";
    std::size_t max_queued = 2000;
    admission::fleet_retry_limits retry_limits;
    admission::cold_limits cold;
    pacing_mode pacing = pacing_mode::reported;
};

class dispatcher {
public:
    dispatcher(kernel::loop& loop, kernel::random_source& random, kernel::event_sink& events,
               discovery::target_catalog& catalog, const dispatch_settings& settings);
    ~dispatcher();
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    void set_table(std::shared_ptr<const routing::route_table> latest) {
        this->table = std::move(latest);
    }
    void set_members(std::vector<std::string> names);
    // The store stated the current member list, with this gateway in it, at this time.
    void on_members_confirmed(helpers::time_point at) { this->budget.on_members_confirmed(at); }

    // Without a policy every version may receive requests.
    void set_version_policy(version_policy& policy) { this->versions = &policy; }

    using dispatch_id = std::uint64_t;

    // Assigns a target or queues the request. Returns 0 if one of the request's handlers was called
    // before this returns.
    dispatch_id submit(dispatch_request request);
    // Removes a queued request; its handlers are not called.
    void cancel(dispatch_id id);

    // Events of the attempts that the dispatcher assigned.

    void on_occupancy_report(const assignment& attempt, const admission::occupancy_report& report);
    // The target has responded; `per_second` is empty if the response names no limit.
    void on_limit(const assignment& attempt, std::optional<double> per_second);
    // The target has responded; `limit` is the number of rejections a second above which it falls
    // over, if it says that it is brittle.
    void on_brittleness(const assignment& attempt, std::optional<std::uint32_t> limit);
    // The target has rejected the request for want of room.
    void on_rejected_by_target(const assignment& attempt);
    // The target has rejected the request and asks to be sent nothing for a time.
    void on_quiet(const assignment& attempt, helpers::duration time);
    bool is_quiet(const discovery::tracked_target& target) const {
        return this->quiet.is_quiet(target.incarnation_hash, this->loop.time().now());
    }
    // If all targets of the service that take work have asked for quiet: the time until the first
    // of them serves again.
    std::optional<helpers::duration> quiet_time_left(helpers::service_id service) const;
    std::size_t quiet_targets() const { return this->quiet.quiet_count(this->loop.time().now()); }
    // The response has started, or the attempt has finished. Only the first call has an effect.
    void on_prompt_processed(assignment& attempt);
    // Which targets this gateway reaches.
    admission::target_paths& paths() { return this->target_paths; }

    // The target has not responded in time, which counts as a failure.
    void on_target_silent(const assignment& attempt);
    // Releases the target's capacity for queued requests.
    void on_attempt_finished(assignment& attempt, attempt_result result);
    // The target returned an error response that the request itself did not cause. Counts in the
    // results that are shared with the fleet, but does not eject the target here: the cause may be
    // the service as a whole.
    void on_error_response(const discovery::tracked_target& target);

    // This gateway's requests in flight on each target, and its recent results there.
    exchange::target_counts own_counts() const;
    // The same, for a report; the next totals contain these counts.
    exchange::target_counts report_counts();
    // Sets the other gateways' requests in flight and the whole fleet's results. Targets that are
    // not listed have at most `max_unlisted_in_flight` requests each; `interval` is the time until
    // the next update.
    void set_peer_counts(const exchange::target_counts& peer_counts,
                         std::uint32_t max_unlisted_in_flight, helpers::duration interval);

    // Limits that targets have named, for the other gateways, and theirs.
    admission::target_limit_list limit_announcements() const {
        return this->limits.announcements(this->loop.time().now());
    }
    void merge_limits(const admission::target_limit_list& received);
    std::size_t limited_targets() const { return this->limits.limited_count(); }

    // Current speeds of targets, for the other gateways, and theirs.
    admission::target_speed_list speed_announcements() const {
        return this->pacing.announcements(this->loop.time().now());
    }
    void merge_speeds(const admission::target_speed_list& received);
    std::size_t paced_targets() const { return this->pacing.paced_targets(); }
    std::size_t changed_speeds() const {
        return this->pacing.changed_speeds(this->loop.time().now());
    }

    admission::fleet_retry_budget& retry_budget() { return this->budget; }

    // Tries to assign the queued requests; called when targets have changed.
    void serve_queue();
    std::size_t queued() const { return this->queue.size(); }
    // Number of times that the fleet's results caused a target to be suspected.
    const std::uint64_t& suspicions() const { return this->suspicion_count; }

private:
    static constexpr helpers::duration rate_window = std::chrono::seconds(1);

    struct service_state {
        std::unique_ptr<placement::target_choice> choice;
        // Moving average of the other gateways' requests per target, from the targets' load
        // reports.
        double mean_peer_load = 0;
        // Requests that this gateway assigned.
        admission::sliding_counts<std::uint32_t, 4> recent_assignments{rate_window};
    };

    enum class assign_outcome : std::uint8_t {
        assigned,
        must_wait,
        no_target,
        no_path,
        // All targets have asked for quiet until after the request's queue deadline.
        all_quiet,
    };

    struct queue_key {
        std::uint32_t priority = 0;
        // The request can no longer meet its objective. Requests of the same priority that still
        // can are served first, so that an overload does not make every response late.
        bool misses_objective = false;
        // Virtual start of start-time fair queueing; see admission::fair_start_tags.
        std::uint64_t virtual_start = 0;
        dispatch_id id = 0;

        friend auto operator<=>(const queue_key&, const queue_key&) = default;
    };

    assign_outcome try_assign(dispatch_request& request);
    // Why the request can have no target now, whatever their load; nothing if it may have one.
    std::optional<assign_outcome> find_obstacle(const dispatch_request& request) const;
    static bool was_tried(const dispatch_request& request, const discovery::tracked_target& target);
    service_state& state_of(helpers::service_id service);
    std::optional<placement::choice> choose(dispatch_request& request);
    std::optional<placement::choice> choose_on_side(const dispatch_request& request);
    bool is_version_allowed(const discovery::tracked_target& target,
                            const dispatch_request& request, helpers::time_point now) const;
    std::vector<placement::choice_target> candidates(const dispatch_request& request,
                                                     bool with_suspected);
    std::optional<helpers::endpoint> address_of(helpers::service_id service,
                                                std::uint64_t serial) const;
    placement::choice_context choice_context() const;
    bool has_room(const discovery::tracked_target& target, helpers::time_point now);
    bool is_reachable(const discovery::tracked_target& target, const dispatch_request& request,
                      helpers::time_point now);
    bool is_usable(const discovery::tracked_target& target, const dispatch_request& request,
                   bool with_suspected, helpers::time_point now);
    placement::choice_target candidate_for(const discovery::tracked_target& target,
                                           double mean_peer_load, helpers::time_point now);
    admission::target_load& load_of(const discovery::tracked_target& target);
    void log_limit(const std::string& target, std::optional<double> per_second,
                   helpers::duration age) const;
    void record_failure(const discovery::tracked_target& target);
    void record_success(const discovery::tracked_target& target);
    using counts_by_incarnation = std::unordered_map<std::uint32_t, exchange::target_count>;
    bool is_within_pace(const discovery::tracked_target& target, const dispatch_request& request,
                        helpers::time_point now);
    void observe_pace(const discovery::tracked_target& target, helpers::time_point now);
    void update_pace(const counts_by_incarnation& counts, std::uint32_t max_unlisted_in_flight);
    admission::pace_totals pace_totals_of(const discovery::tracked_target& target,
                                          const counts_by_incarnation& counts);
    void suspect_outliers(helpers::service_id service, const counts_by_incarnation& counts);
    void tick();
    void evict_idle_loads();
    // True if, at the current rate of assignments, the requests ahead of this one take longer than
    // its queue deadline allows.
    bool would_time_out(const dispatch_request& request, const queue_key& own_key);
    void demote_late_requests(helpers::time_point now);

    kernel::loop& loop;
    kernel::random_source& random;
    kernel::event_sink& events;
    discovery::target_catalog& catalog;
    dispatch_settings settings;
    admission::fleet_retry_budget budget;
    admission::cold_target_share cold;
    admission::target_limits limits;
    admission::target_paths target_paths;
    admission::quiet_times quiet;
    admission::brittle_services brittle;
    target_pacing pacing;
    // This gateway's results in its last report, by incarnation.
    std::unordered_map<std::uint32_t, admission::result_counts> reported_results;
    version_policy* versions = nullptr;
    std::shared_ptr<const routing::route_table> table;
    std::unordered_map<helpers::service_id, service_state> services;
    std::unordered_map<std::uint64_t, admission::target_load> loads;
    // Ordered by priority, then by whether the objective can still be met, then fairly between
    // organisations.
    std::map<queue_key, dispatch_request> queue;
    admission::fair_start_tags fair_order;
    // Interval between two calls of set_peer_counts().
    helpers::duration peer_count_interval{};
    // Number of gateways in the fleet, including this one.
    std::size_t members = 1;
    dispatch_id last_dispatch = 0;
    std::uint64_t suspicion_count = 0;
    kernel::timer_id timer = 0;
    bool is_serving = false;
};

} // namespace samphirespool::gateway
