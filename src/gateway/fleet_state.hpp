// The gateway's view of the fleet: the current configuration, the targets, the drained data
// centres, the member list of gateways and the quarantined suspects. Each is followed by a
// feed watch.
#pragma once

#include "discovery/drained_data_centres.hpp"
#include "discovery/feed_watch.hpp"
#include "discovery/freshness.hpp"
#include "discovery/target_catalog.hpp"
#include "exchange/configuration_channel.hpp"
#include "exchange/exchange_node.hpp"
#include "gateway/dispatcher.hpp"
#include "gateway/object_codec.hpp"
#include "routing/route_table.hpp"

#include <map>
#include <string>

namespace samphirespool::gateway {

struct fleet_state_services {
    kernel::loop& loop;
    kernel::random_source& random;
    kernel::event_sink& events;
    discovery::feed_source& feeds;
    const object_codec& codec;
};

class fleet_state final : public exchange::configuration_channel {
public:
    fleet_state(const fleet_state_services& services, discovery::target_catalog& catalog,
                dispatcher& dispatch, exchange::member self,
                const discovery::freshness_limits& limits, bool follows_rollouts = false);
    ~fleet_state() override;
    fleet_state(const fleet_state&) = delete;
    fleet_state& operator=(const fleet_state&) = delete;

    void start();

    // Null until the first configuration was read. The version never decreases.
    const std::shared_ptr<const routing::route_table>& table() const { return this->current_table; }

    // For the exchange with other gateways.
    std::uint64_t version_in_force() const override {
        return this->current_table == nullptr ? 0 : this->current_table->values().version;
    }
    std::string_view content_in_force() const override { return this->current_content; }
    void offer(std::string_view content) override;

    // The configuration, the targets and the drained data centres were read at least once, so that
    // requests can be served.
    bool is_initialized() const;
    bool are_targets_read() const { return this->target_feed.is_loaded(); }
    // When the orders of rollouts were last confirmed. They must be followed.
    helpers::time_point rollouts_confirmed_at() const;
    // Indexed by discovery::collection.
    exchange::exchange_node::feed_list feeds() {
        return {&this->configuration_feed, &this->target_feed,
                &this->drained_feed,       &this->member_feed,
                &this->quarantine_feed,    this->rollout_feed ? &*this->rollout_feed : nullptr};
    }

    discovery::feed_watch& targets_watch() { return this->target_feed; }

    // Admits the calls of all feeds to the store.
    discovery::source_gate& gate() { return this->store_gate; }

    // Removes the entry of a gateway that has stopped. A gateway that is removed while it runs
    // registers again.
    void remove_member(const std::string& name);

    // The handler receives the whole member list, which always includes this gateway. It is first
    // called once the list contains this gateway's entry, and with it the gateways that started
    // earlier.
    void on_members_changed(std::function<void(const std::vector<exchange::member>&)> handler) {
        this->members_handler = std::move(handler);
    }

    // The handler receives all quarantined suspects that the store has, by name.
    void
    on_quarantine_changed(std::function<void(const std::map<std::string, std::string>&)> handler) {
        this->quarantine_handler = std::move(handler);
    }

    // The handler receives all orders of rollouts that the store has, by name.
    void
    on_rollouts_changed(std::function<void(const std::map<std::string, std::string>&)> handler) {
        this->rollouts_handler = std::move(handler);
    }
    void on_targets_changed(kernel::task handler) { this->targets_handler = std::move(handler); }

    bool is_store_reachable() const { return this->configuration_feed.is_reachable(); }

private:
    class configuration_receiver final : public discovery::feed_receiver {
    public:
        explicit configuration_receiver(fleet_state& state) : state(state) {}
        void replace(const std::vector<discovery::feed_object>& objects) override;
        void change(std::span<const discovery::feed_object> objects) override;

    private:
        void apply(std::span<const discovery::feed_object> objects, std::string_view source);

        fleet_state& state;
    };

    class target_receiver final : public discovery::feed_receiver {
    public:
        explicit target_receiver(fleet_state& state) : state(state) {}
        void replace(const std::vector<discovery::feed_object>& objects) override;
        void change(std::span<const discovery::feed_object> objects) override;
        void on_source_lost() override { this->state.catalog.on_registry_lost(); }
        void on_source_regained() override;
        void on_source_restored() override;

    private:
        void change_one(const discovery::feed_object& object);

        fleet_state& state;
    };

    class drained_receiver final : public discovery::feed_receiver {
    public:
        explicit drained_receiver(fleet_state& state) : state(state) {}
        void replace(const std::vector<discovery::feed_object>& objects) override;
        void change(std::span<const discovery::feed_object> objects) override;
        void on_source_restored() override;
        void expire();

    private:
        void publish() const;

        fleet_state& state;
        discovery::drained_data_centres drained;
    };

    // Keeps a copy of a collection and passes all of it to the handler after each change.
    class collection_receiver final : public discovery::feed_receiver {
    public:
        using contents = std::map<std::string, std::string>;

        explicit collection_receiver(std::function<void(const contents&)> change_handler)
            : change_handler(std::move(change_handler)) {}
        void replace(const std::vector<discovery::feed_object>& objects) override;
        void change(std::span<const discovery::feed_object> objects) override;

    private:
        std::function<void(const contents&)> change_handler;
        contents objects;
    };

    // `source` says for the log how this gateway has learned of the configuration.
    void apply_configuration(std::string_view content, std::string_view source);
    void set_members(const collection_receiver::contents& objects);
    void publish_members();
    void register_self(bool entry_exists);
    void schedule_registration(bool entry_exists);
    void expire_missing_targets();
    void confirm_members();

    fleet_state_services services;
    discovery::target_catalog& catalog;
    dispatcher& dispatch;
    exchange::member self;
    std::shared_ptr<const routing::route_table> current_table;
    // From which it was made.
    std::string current_content;
    configuration_receiver configurations;
    target_receiver targets;
    drained_receiver drained_data_centres;
    collection_receiver members;
    collection_receiver quarantined_suspects;
    collection_receiver rollouts;
    discovery::source_gate store_gate;
    discovery::feed_watch configuration_feed;
    discovery::feed_watch target_feed;
    discovery::feed_watch drained_feed;
    discovery::feed_watch member_feed;
    discovery::feed_watch quarantine_feed;
    // Absent if rollouts are not active.
    std::optional<discovery::feed_watch> rollout_feed;
    std::function<void(const std::vector<exchange::member>&)> members_handler;
    std::function<void(const std::map<std::string, std::string>&)> quarantine_handler;
    std::function<void(const std::map<std::string, std::string>&)> rollouts_handler;
    kernel::task targets_handler;
    // The latest calls; a finished call is freed when the next one starts.
    std::unique_ptr<discovery::feed_call> registration;
    std::unique_ptr<discovery::feed_call> removal;
    bool is_registering = false;
    // Where this gateway's entry was written; empty before that.
    std::optional<discovery::source_position> registered_at;
    // The member list has contained this gateway's entry.
    bool is_settled = false;
    // The current one does.
    bool is_listed = false;
    std::vector<exchange::member> known_members;
    helpers::time_point started_at{};
    kernel::timer_id settling_timer = 0;
    kernel::timer_id registration_timer = 0;
    kernel::timer_id expiry_timer = 0;
};

} // namespace samphirespool::gateway
