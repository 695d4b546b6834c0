// The rollouts of a gateway: the orders that it has read, what it may send to which version, the
// results that it counts and exchanges, and, at the gateway that reads the store for all, the
// decisions. Exists only if the settings state a share of exposure.
#pragma once

#include "debug/metrics.hpp"
#include "discovery/feed.hpp"
#include "exchange/rollout_channel.hpp"
#include "gateway/object_codec.hpp"
#include "gateway/rollout_evidence.hpp"
#include "gateway/version_policy.hpp"
#include "kernel/event.hpp"
#include "kernel/loop.hpp"
#include "rollout/rollout_decider.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace samphirespool::gateway {

struct rollout_services {
    kernel::loop& loop;
    kernel::event_sink& events;
    discovery::feed_source& feeds;
    const object_codec& codec;
    discovery::target_catalog& catalog;
    // Null if nothing is measured.
    debug::metrics* metrics = nullptr;
};

class rollout_control final : public exchange::rollout_channel, public version_policy {
public:
    rollout_control(const rollout_services& services, const rollout::view_settings& settings,
                    std::uint64_t seed);
    ~rollout_control() override;
    rollout_control(const rollout_control&) = delete;
    rollout_control& operator=(const rollout_control&) = delete;

    // Whether this gateway decides, and whether it has read all targets.
    void set_decider_check(std::function<bool()> check) { this->is_decider = std::move(check); }
    void set_targets_check(std::function<bool()> check) {
        this->are_targets_known = std::move(check);
    }
    // When the store, or a peer, last confirmed the orders.
    void set_confirmation(std::function<helpers::time_point()> source) {
        this->confirmed_at = std::move(source);
    }
    void start() { this->tick(); }

    // All orders in the store, by name of the object.
    void set_orders(const std::map<std::string, std::string>& objects);
    void on_targets_changed();

    rollout::side choose_side(helpers::service_id service, rollout::route_key route, bool is_retry,
                              helpers::time_point now) override;
    bool is_allowed(const discovery::tracked_target& target, rollout::side side,
                    helpers::time_point now) override;
    bool may_continue(const discovery::tracked_target& target, helpers::time_point now) override;

    // A request was sent to a target, and how the target answered it.
    void on_sent(helpers::service_id service, rollout::route_key route,
                 rollout::software_key software, bool is_first_attempt, helpers::time_point now);
    void record(helpers::service_id service, rollout::route_key route,
                rollout::software_key software, rollout::target_key target,
                const rollout::outcome& result);

    exchange::rollout_row_list rows(bool for_group, bool is_first_to_receiver) override;
    void merge_rows(const std::string& sender, bool for_group,
                    const exchange::rollout_row_list& received) override;
    exchange::rollout_directive_list directives() override;
    void merge_directives(const exchange::rollout_directive_list& received,
                          helpers::duration delay) override;

    // The state of all rollouts as JSON, for operators.
    std::string describe() const;

private:
    // Requests of this gateway to one version during a rollout.
    struct version_counts {
        std::uint64_t sent = 0;
        std::uint64_t failed = 0;
    };

    struct service_state {
        rollout::service_key key = 0;
        // Absent after it was removed.
        std::optional<rollout_order> order;
        rollout::order_id id;
        helpers::time_point first_seen{};
        std::set<rollout::route_key> routes;
        rollout::phase logged_phase = rollout::phase::observing;
        version_counts old_counts;
        version_counts new_counts;
        bool has_metrics = false;
        // Set at the gateway that decides.
        std::unique_ptr<rollout::rollout_decider> decider;
        std::optional<rollout::record> stored_record;
        std::unique_ptr<discovery::feed_call> status_call;
        std::unique_ptr<discovery::feed_call> record_call;
        bool is_writing_status = false;
        bool is_writing_record = false;
    };

    struct version_key {
        helpers::service_id service;
        rollout::software_key software = 0;

        friend auto operator<=>(const version_key&, const version_key&) = default;
    };

    void tick();
    void apply_order(const std::string& name, rollout_order order);
    void remove_order(service_state& state);
    void refresh_targets(const service_state& state);
    void note_versions(helpers::time_point now);
    bool is_held(const discovery::tracked_target& target, helpers::time_point now);
    void decide(bool is_deciding);
    void decide(service_state& state, helpers::time_point now);
    rollout::decider_inputs make_inputs(service_state& state, helpers::time_point now);
    void issue(service_state& state, const rollout::decider_outputs& outputs,
               helpers::time_point now);
    void list_records(std::string_view after);
    void on_records(const discovery::feed_result& result, helpers::time_point asked_at);
    bool are_records_known(const service_state& state) const;
    void write_status(service_state& state, const rollout::status_write& write);
    void write_record(service_state& state, const rollout::record& wanted);
    void log_phase(service_state& state, const rollout::decider_outputs& outputs) const;
    void follow_phase(service_state& state, helpers::time_point now) const;
    void register_metrics(service_state& state);
    service_state* find(helpers::service_id service);

    rollout_services services;
    rollout::view_settings settings;
    rollout::rollout_view view;
    rollout_evidence evidence;
    // By name of the service. Entries stay after their order was removed, since callbacks of the
    // metrics refer to them.
    std::map<std::string, service_state> states;
    std::map<rollout::service_key, service_state*> by_key;
    // When each version of a service was first seen, until its orders have been read since then.
    std::map<version_key, helpers::time_point> new_versions;
    std::set<version_key> known_versions;
    std::function<bool()> is_decider;
    std::function<bool()> are_targets_known;
    std::function<helpers::time_point()> confirmed_at;
    // The records of rollouts are read once when this gateway begins to decide, and again for each
    // order that is seen later.
    std::unique_ptr<discovery::feed_call> records_call;
    std::unique_ptr<discovery::feed_call> completed_records_call;
    std::map<std::string, rollout::record> partial_records;
    bool is_listing_records = false;
    std::optional<helpers::time_point> records_read_at;
    helpers::time_point records_asked_at{};
    bool was_deciding = false;
    std::optional<helpers::time_point> refusal_logged_at;
    kernel::timer_id timer = 0;
};

} // namespace samphirespool::gateway
