// Applies what the feeds bring.
#include "gateway/fleet_state.hpp"

#include <algorithm>

namespace samphirespool::gateway {

namespace {

// The operator's configuration is one object.
constexpr std::string_view main_configuration = "main";
constexpr helpers::duration registration_pause = std::chrono::seconds(1);
constexpr helpers::duration settle_interval = std::chrono::milliseconds(250);
// The list of gateways only divides allowances, so it may be some seconds old.
constexpr helpers::duration member_wait = std::chrono::seconds(10);
constexpr helpers::duration member_gather = std::chrono::seconds(1);

discovery::watch_timing member_timing() {
    discovery::watch_timing timing;
    timing.wait = member_wait;
    timing.gather = member_gather;
    return timing;
}

} // namespace

fleet_state::fleet_state(const fleet_sources& sources, discovery::target_catalog& catalog,
                         dispatcher& dispatch, std::string self)
    : sources(sources),
      catalog(catalog),
      dispatch(dispatch),
      self(std::move(self)),
      configurations(*this),
      targets(*this),
      departures([this](const std::set<std::string>& names) { this->catalog.set_departed(names); }),
      members([this](const std::set<std::string>& names) {
          this->dispatch.set_members({names.begin(), names.end()});
      }),
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
    this->register_self();
    this->settle();
}

bool fleet_state::is_complete() const {
    return this->newest != nullptr && this->target_feed.is_loaded() &&
           this->departure_feed.is_loaded();
}

// An object of the same name is this gateway's own from an earlier life and does as well.
void fleet_state::register_self() {
    this->registration = this->sources.feeds.put(
        discovery::collection::members, this->self, "{}", [this](discovery::feed_answer answer) {
            const auto* reason = std::get_if<kernel::error>(&answer);
            if (reason == nullptr || reason->kind == kernel::error_kind::conflict)
                return;
            this->sources.events.write(kernel::severity::warning, "member.not_registered",
                                       std::nullopt, {{"reason", reason->detail}});
            this->registration_timer = this->sources.loop.schedule(registration_pause, [this] {
                this->registration_timer = 0;
                this->register_self();
            });
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

void fleet_state::name_receiver::replace(const std::vector<discovery::feed_object>& objects) {
    this->names.clear();
    for (const auto& object : objects)
        this->names.insert(object.name);
    this->changed(this->names);
}

void fleet_state::name_receiver::change(const discovery::feed_object& object) {
    if (object.is_removed)
        this->names.erase(object.name);
    else
        this->names.insert(object.name);
    this->changed(this->names);
}

} // namespace samphirespool::gateway
