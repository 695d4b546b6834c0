// Applies what the feeds bring.
#include "gateway/fleet_state.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace samphirespool::gateway {

namespace {

// The operator's configuration is one object.
constexpr std::string_view main_configuration = "main";
constexpr helpers::duration registration_pause = std::chrono::seconds(1);
constexpr helpers::duration settle_interval = std::chrono::milliseconds(250);
// The list of gateways only divides allowances, so it may be some seconds old.
constexpr helpers::duration member_wait = std::chrono::seconds(10);
constexpr helpers::duration member_max_age = std::chrono::seconds(13);
constexpr helpers::duration member_gather = std::chrono::seconds(1);

discovery::watch_timing member_timing() {
    discovery::watch_timing timing;
    timing.wait = member_wait;
    timing.least_wait = member_wait;
    timing.gather = member_gather;
    timing.max_peer_age = member_max_age;
    return timing;
}

} // namespace

fleet_state::fleet_state(const fleet_sources& sources, discovery::target_catalog& catalog,
                         dispatcher& dispatch, exchange::member self)
    : sources(sources),
      catalog(catalog),
      dispatch(dispatch),
      self(std::move(self)),
      configurations(*this),
      targets(*this),
      departures([this](const auto& objects) { this->set_departures(objects); }),
      members([this](const auto& objects) { this->set_members(objects); }),
      configuration_feed(sources.loop, sources.random, sources.events, sources.feeds,
                         this->configurations, discovery::collection::configuration, {}),
      target_feed(sources.loop, sources.random, sources.events, sources.feeds, this->targets,
                  discovery::collection::targets, {}),
      departure_feed(sources.loop, sources.random, sources.events, sources.feeds, this->departures,
                     discovery::collection::departures, {}),
      member_feed(sources.loop, sources.random, sources.events, sources.feeds, this->members,
                  discovery::collection::members, member_timing()) {
    this->catalog.on_change([this] { this->dispatch.serve_waiting(); });
}

fleet_state::~fleet_state() {
    this->sources.loop.cancel(this->registration_timer);
    this->sources.loop.cancel(this->settle_timer);
}

void fleet_state::start() {
    this->configuration_feed.start();
    this->target_feed.start();
    this->departure_feed.start();
    this->member_feed.start();
    this->settle();
}

bool fleet_state::is_complete() const {
    return this->newest != nullptr && this->target_feed.is_loaded() &&
           this->departure_feed.is_loaded();
}

void fleet_state::set_departures(const collection_receiver::contents& objects) {
    std::set<std::string> names;
    for (const auto& [name, content] : objects)
        names.insert(name);
    this->catalog.set_departed(std::move(names));
}

void fleet_state::set_members(const collection_receiver::contents& objects) {
    std::vector<exchange::member> list;
    bool is_listed = false;
    for (const auto& [name, content] : objects) {
        kernel::error reason;
        auto read = this->sources.reader.read_member(name, content, reason);
        if (!read) {
            this->sources.events.write(kernel::severity::warning, "member.rejected", std::nullopt,
                                       {{"member", name}, {"reason", reason.detail}});
            continue;
        }
        is_listed = is_listed || *read == this->self;
        list.push_back(std::move(*read));
    }
    if (!is_listed) {
        this->register_self(objects.contains(this->self.name));
        std::erase_if(list, [this](const auto& each) { return each.name == this->self.name; });
        list.push_back(this->self);
    }
    std::vector<std::string> names;
    names.reserve(list.size());
    for (const auto& each : list)
        names.push_back(each.name);
    this->dispatch.set_members(std::move(names));
    if (this->members_task)
        this->members_task(list);
}

// An object of an earlier life is replaced if it states another address.
void fleet_state::register_self(bool exists) {
    if (std::exchange(this->is_registering, true))
        return;
    const auto done = [this, exists](discovery::feed_answer answer) {
        this->is_registering = false;
        const auto* reason = std::get_if<kernel::error>(&answer);
        if (reason == nullptr)
            return;
        this->sources.events.write(kernel::severity::warning, "member.not_registered", std::nullopt,
                                   {{"reason", reason->detail}});
        const bool was_other = reason->kind == kernel::error_kind::conflict ||
                               reason->kind == kernel::error_kind::not_found;
        this->register_later(was_other ? !exists : exists);
    };
    const auto content = this->sources.reader.write_member(this->self);
    const auto kind = discovery::collection::members;
    auto& feeds = this->sources.feeds;
    this->registration = exists ? feeds.replace(kind, this->self.name, content, done)
                                : feeds.create(kind, this->self.name, content, done);
}

void fleet_state::register_later(bool exists) {
    this->sources.loop.cancel(this->registration_timer);
    this->registration_timer = this->sources.loop.schedule(registration_pause, [this, exists] {
        this->registration_timer = 0;
        this->register_self(exists);
    });
}

void fleet_state::remove_member(const std::string& name) {
    this->sources.events.write(kernel::severity::warning, "member.absent", std::nullopt,
                               {{"member", name}});
    this->removal = this->sources.feeds.remove(
        discovery::collection::members, name, [this, name](const discovery::feed_answer& answer) {
            const auto* reason = std::get_if<kernel::error>(&answer);
            // It is asked for again after the pause between removals.
            this->sources.events.write(kernel::severity::info, "member.removed", std::nullopt,
                                       {{"member", name},
                                        {"done", reason == nullptr},
                                        {"reason", reason == nullptr ? "" : reason->detail}});
        });
}

void fleet_state::settle() {
    this->catalog.settle(this->sources.loop.time().now());
    this->settle_timer = this->sources.loop.schedule(settle_interval, [this] { this->settle(); });
}

void fleet_state::adopt(const discovery::feed_object& object) {
    kernel::error reason;
    auto read = this->sources.reader.read_configuration(object.content, reason);
    if (!read) {
        this->sources.events.write(kernel::severity::error, "configuration.rejected", std::nullopt,
                                   {{"object", object.name}, {"reason", reason.detail}});
        return;
    }
    const auto version = read->version;
    if (this->newest != nullptr && version <= this->newest->values().version)
        return;
    this->newest = std::make_shared<const routing::route_table>(std::move(*read));
    this->dispatch.set_table(this->newest);
    this->sources.events.write(
        kernel::severity::info, "configuration.adopted", std::nullopt,
        {{"version", version}, {"routes", std::uint64_t{this->newest->values().routes.size()}}});
}

void fleet_state::configuration_receiver::replace(
    const std::vector<discovery::feed_object>& objects) {
    for (const auto& object : objects)
        this->change(object);
}

void fleet_state::configuration_receiver::change(const discovery::feed_object& object) {
    // A removed configuration stays in force: the fleet keeps the last good one.
    if (object.name == main_configuration && !object.is_removed)
        this->owner.adopt(object);
}

void fleet_state::target_receiver::replace(const std::vector<discovery::feed_object>& objects) {
    std::vector<discovery::target> all;
    for (const auto& object : objects) {
        kernel::error reason;
        if (auto read = this->owner.sources.reader.read_target(object.name, object.content, reason))
            all.push_back(std::move(*read));
        else
            this->owner.sources.events.write(kernel::severity::warning, "target.rejected",
                                             std::nullopt,
                                             {{"target", object.name}, {"reason", reason.detail}});
    }
    this->owner.catalog.replace(std::move(all), this->owner.sources.loop.time().now());
}

void fleet_state::target_receiver::change(const discovery::feed_object& object) {
    const auto now = this->owner.sources.loop.time().now();
    if (object.is_removed) {
        this->owner.catalog.remove(object.name, now);
        return;
    }
    kernel::error reason;
    if (auto read = this->owner.sources.reader.read_target(object.name, object.content, reason)) {
        this->owner.catalog.update(std::move(*read), now);
        return;
    }
    this->owner.sources.events.write(kernel::severity::warning, "target.rejected", std::nullopt,
                                     {{"target", object.name}, {"reason", reason.detail}});
    this->owner.catalog.remove(object.name, now);
}

void fleet_state::target_receiver::regained() {
    this->owner.catalog.registry_regained(this->owner.sources.loop.time().now());
}

void fleet_state::collection_receiver::replace(const std::vector<discovery::feed_object>& listed) {
    this->objects.clear();
    for (const auto& object : listed)
        this->objects[object.name] = object.content;
    this->changed(this->objects);
}

void fleet_state::collection_receiver::change(const discovery::feed_object& object) {
    if (object.is_removed)
        this->objects.erase(object.name);
    else
        this->objects[object.name] = object.content;
    this->changed(this->objects);
}

} // namespace samphirespool::gateway
