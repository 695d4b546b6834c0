// What the gateway believes of its fleet: the newest configuration, the targets, the data centres
// that leave, and the other gateways; each followed by a feed.
#pragma once

#include "discovery/feed_watch.hpp"
#include "discovery/target_catalog.hpp"
#include "exchange/exchange_node.hpp"
#include "gateway/dispatcher.hpp"
#include "gateway/object_codec.hpp"
#include "routing/route_table.hpp"

#include <map>
#include <string>

namespace samphirespool::gateway {

struct fleet_sources {
    kernel::loop& loop;
    kernel::random_source& random;
    kernel::event_sink& events;
    discovery::feed_source& feeds;
    const object_codec& reader;
};

class fleet_state {
public:
    fleet_state(const fleet_sources& sources, discovery::target_catalog& catalog,
                dispatcher& dispatch, exchange::member self);
    ~fleet_state();
    fleet_state(const fleet_state&) = delete;
    fleet_state& operator=(const fleet_state&) = delete;

    void start();

    // Null until the first configuration was read. Never goes back a version.
    const std::shared_ptr<const routing::route_table>& table() const { return this->newest; }

    // Enough is known to serve.
    bool is_complete() const;
    // By collection.
    exchange::exchange_node::feed_list feeds() {
        return {&this->configuration_feed, &this->target_feed, &this->departure_feed,
                &this->member_feed};
    }

    // Removes the entry of a gateway that is gone. If it lives after all, it registers again.
    void remove_member(const std::string& name);

    // Told of the other gateways, this one included.
    void on_members(std::function<void(const std::vector<exchange::member>&)> task) {
        this->members_task = std::move(task);
    }

    bool is_source_reachable() const { return this->configuration_feed.is_reachable(); }

private:
    class configuration_receiver final : public discovery::feed_receiver {
    public:
        explicit configuration_receiver(fleet_state& owner) : owner(owner) {}
        void replace(const std::vector<discovery::feed_object>& objects) override;
        void change(const discovery::feed_object& object) override;

    private:
        fleet_state& owner;
    };

    class target_receiver final : public discovery::feed_receiver {
    public:
        explicit target_receiver(fleet_state& owner) : owner(owner) {}
        void replace(const std::vector<discovery::feed_object>& objects) override;
        void change(const discovery::feed_object& object) override;
        void lost() override { this->owner.catalog.registry_lost(); }
        void regained() override;

    private:
        fleet_state& owner;
    };

    // Keeps the whole collection and tells of it after each change.
    class collection_receiver final : public discovery::feed_receiver {
    public:
        using contents = std::map<std::string, std::string>;

        explicit collection_receiver(std::function<void(const contents&)> changed)
            : changed(std::move(changed)) {}
        void replace(const std::vector<discovery::feed_object>& objects) override;
        void change(const discovery::feed_object& object) override;

    private:
        std::function<void(const contents&)> changed;
        contents objects;
    };

    void adopt(const discovery::feed_object& object);
    void set_departures(const collection_receiver::contents& objects);
    void set_members(const collection_receiver::contents& objects);
    void register_self(bool exists);
    void register_later(bool exists);
    void settle();

    fleet_sources sources;
    discovery::target_catalog& catalog;
    dispatcher& dispatch;
    exchange::member self;
    std::shared_ptr<const routing::route_table> newest;
    configuration_receiver configurations;
    target_receiver targets;
    collection_receiver departures;
    collection_receiver members;
    discovery::feed_watch configuration_feed;
    discovery::feed_watch target_feed;
    discovery::feed_watch departure_feed;
    discovery::feed_watch member_feed;
    std::function<void(const std::vector<exchange::member>&)> members_task;
    // The newest one; an answered call is freed by the next.
    std::unique_ptr<discovery::feed_call> registration;
    std::unique_ptr<discovery::feed_call> removal;
    bool is_registering = false;
    kernel::timer_id registration_timer = 0;
    kernel::timer_id settle_timer = 0;
};

} // namespace samphirespool::gateway
