// What the gateway believes of its fleet: the newest configuration, the targets, the data centres
// that leave, and the other gateways; each followed by a feed.
#pragma once

#include "discovery/feed_watch.hpp"
#include "discovery/target_catalog.hpp"
#include "gateway/dispatcher.hpp"
#include "gateway/documents.hpp"
#include "routing/route_table.hpp"

#include <set>
#include <string>

namespace samphirespool::gateway {

struct fleet_sources {
    kernel::loop& loop;
    kernel::random_source& random;
    kernel::event_sink& events;
    discovery::feed_source& feeds;
    const documents& reader;
};

class fleet_state {
public:
    fleet_state(const fleet_sources& sources, discovery::target_catalog& catalog,
                dispatcher& dispatch, std::string self);
    ~fleet_state();
    fleet_state(const fleet_state&) = delete;
    fleet_state& operator=(const fleet_state&) = delete;

    void start();

    // Null until the first configuration was read. Never goes back a version.
    const std::shared_ptr<const routing::route_table>& table() const { return this->newest; }

    // Enough is known to serve.
    bool is_complete() const;
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

    // Follows the names in a collection.
    class name_receiver final : public discovery::feed_receiver {
    public:
        explicit name_receiver(std::function<void(const std::set<std::string>&)> changed)
            : changed(std::move(changed)) {}
        void replace(const std::vector<discovery::feed_object>& objects) override;
        void change(const discovery::feed_object& object) override;

    private:
        std::function<void(const std::set<std::string>&)> changed;
        std::set<std::string> names;
    };

    void adopt(const discovery::feed_object& object);
    void register_self();
    void settle();

    fleet_sources sources;
    discovery::target_catalog& catalog;
    dispatcher& dispatch;
    std::string self;
    std::shared_ptr<const routing::route_table> newest;
    configuration_receiver configurations;
    target_receiver targets;
    name_receiver departures;
    name_receiver members;
    discovery::feed_watch configuration_feed;
    discovery::feed_watch target_feed;
    discovery::feed_watch departure_feed;
    discovery::feed_watch member_feed;
    std::unique_ptr<discovery::feed_call> registration;
    kernel::timer_id registration_timer = 0;
    kernel::timer_id settle_timer = 0;
};

} // namespace samphirespool::gateway
