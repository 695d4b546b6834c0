// Applies feed updates and maintains this gateway's own entry in the member list.
#include "gateway/fleet_state.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace samphirespool::gateway {

namespace {

// Name of the object that holds the operator's configuration.
constexpr std::string_view main_configuration = "main";
constexpr helpers::duration registration_retry_delay = std::chrono::seconds(1);
constexpr helpers::duration expiry_interval = std::chrono::milliseconds(250);
// The member list only determines each gateway's share of fleet-wide budgets and the hubs, so it
// may be some seconds old.
constexpr helpers::duration member_watch_wait = std::chrono::seconds(10);
constexpr helpers::duration member_max_age = std::chrono::seconds(13);
constexpr helpers::duration member_batch_delay = std::chrono::seconds(1);
// A gateway whose entry is not confirmed after this time joins the exchange all the same.
constexpr helpers::duration max_settling_time = std::chrono::seconds(3);

discovery::watch_timing feed_timing(const discovery::freshness_limits& limits) {
    discovery::watch_timing timing;
    timing.wait = limits.reader_wait;
    timing.batch_delay = limits.batch_delay;
    timing.reader_lost_age = limits.hub_age;
    timing.peer_lost_age = limits.lost_age;
    timing.max_hub_age = limits.hub_age;
    timing.max_follower_age = limits.follower_age;
    timing.max_isolated_age = limits.hub_age;
    timing.catch_up_delay = limits.follower_age;
    return timing;
}

// A gateway that reaches no peer queries the targets as often as the reader does. Gateways that
// know different targets send the same prefix to different engines, which then process it twice.
discovery::watch_timing target_timing(const discovery::freshness_limits& limits) {
    auto timing = feed_timing(limits);
    timing.max_isolated_age = limits.reader_wait;
    return timing;
}

discovery::watch_timing member_timing(const discovery::freshness_limits& limits) {
    discovery::watch_timing timing;
    timing.wait = member_watch_wait;
    timing.batch_delay = member_batch_delay;
    timing.reader_lost_age = member_max_age;
    timing.peer_lost_age = member_max_age;
    timing.max_hub_age = member_max_age;
    timing.max_follower_age = member_max_age;
    timing.max_isolated_age = member_max_age;
    timing.catch_up_delay = limits.settling_time;
    return timing;
}

// The exchange spreads a quarantine, so its entries may be old, except in a gateway that reaches no
// peer.
discovery::watch_timing quarantine_timing(const discovery::freshness_limits& limits) {
    auto timing = member_timing(limits);
    timing.batch_delay = limits.batch_delay;
    timing.max_isolated_age = limits.follower_age;
    return timing;
}

} // namespace

fleet_state::fleet_state(const fleet_state_services& services, discovery::target_catalog& catalog,
                         dispatcher& dispatch, exchange::member self,
                         const discovery::freshness_limits& limits, bool follows_rollouts)
    : services(services),
      catalog(catalog),
      dispatch(dispatch),
      self(std::move(self)),
      configurations(*this),
      targets(*this),
      drained_data_centres(*this),
      members([this](const auto& objects) { this->set_members(objects); }),
      quarantined_suspects([this](const auto& objects) {
          if (this->quarantine_handler)
              this->quarantine_handler(objects);
      }),
      rollouts([this](const auto& objects) {
          if (this->rollouts_handler)
              this->rollouts_handler(objects);
      }),
      store_gate(services.loop, services.random),
      configuration_feed(services.loop, services.events, this->store_gate, services.feeds,
                         this->configurations, discovery::collection::configuration,
                         feed_timing(limits)),
      target_feed(services.loop, services.events, this->store_gate, services.feeds, this->targets,
                  discovery::collection::targets, target_timing(limits)),
      drained_feed(services.loop, services.events, this->store_gate, services.feeds,
                   this->drained_data_centres, discovery::collection::departures,
                   feed_timing(limits)),
      member_feed(services.loop, services.events, this->store_gate, services.feeds, this->members,
                  discovery::collection::members, member_timing(limits)),
      quarantine_feed(services.loop, services.events, this->store_gate, services.feeds,
                      this->quarantined_suspects, discovery::collection::quarantine,
                      quarantine_timing(limits)) {
    if (follows_rollouts)
        this->rollout_feed.emplace(services.loop, services.events, this->store_gate, services.feeds,
                                   this->rollouts, discovery::collection::rollouts,
                                   feed_timing(limits));
    this->catalog.on_change([this] {
        if (this->targets_handler)
            this->targets_handler();
        this->dispatch.serve_queue();
    });
}

fleet_state::~fleet_state() {
    this->services.loop.cancel(this->registration_timer);
    this->services.loop.cancel(this->settling_timer);
    this->services.loop.cancel(this->expiry_timer);
}

void fleet_state::start() {
    this->started_at = this->services.loop.time().now();
    this->configuration_feed.start();
    this->target_feed.start();
    this->drained_feed.start();
    this->member_feed.start();
    this->quarantine_feed.start();
    if (this->rollout_feed)
        this->rollout_feed->start();
    this->expire_missing_targets();
}

bool fleet_state::is_initialized() const {
    return this->current_table != nullptr && this->target_feed.is_loaded() &&
           this->drained_feed.is_loaded() &&
           (!this->rollout_feed || this->rollout_feed->is_loaded());
}

helpers::time_point fleet_state::rollouts_confirmed_at() const {
    const auto now = this->services.loop.time().now();
    return this->rollout_feed ? now - this->rollout_feed->age(now) : now;
}

void fleet_state::set_members(const collection_receiver::contents& objects) {
    std::vector<exchange::member> list;
    this->is_listed = false;
    for (const auto& [name, content] : objects) {
        kernel::error reason;
        auto read = this->services.codec.read_member(name, content, reason);
        if (!read) {
            this->services.events.write(kernel::severity::warning, "member.rejected", std::nullopt,
                                        {{"member", name}, {"reason", reason.detail}});
            continue;
        }
        this->is_listed = this->is_listed || *read == this->self;
        list.push_back(std::move(*read));
    }
    if (!this->is_listed) {
        // A list from before the entry was written does not contain it.
        if (!this->registered_at || this->member_feed.position() >= *this->registered_at)
            this->register_self(objects.contains(this->self.name));
        std::erase_if(list, [this](const auto& each) { return each.name == this->self.name; });
        list.push_back(this->self);
    }
    std::vector<std::string> names;
    names.reserve(list.size());
    for (const auto& each : list)
        names.push_back(each.name);
    this->dispatch.set_members(std::move(names));
    this->is_settled = this->is_settled || this->is_listed;
    this->known_members = std::move(list);
    this->confirm_members();
    this->publish_members();
}

void fleet_state::confirm_members() {
    const auto now = this->services.loop.time().now();
    const auto age = this->member_feed.age(now);
    if (this->is_listed && age < discovery::feed_watch::unknown_age)
        this->dispatch.on_members_confirmed(now - age);
}

// Passes the member list on once it contains this gateway's entry, or after max_settling_time.
// Gateways that start together see each other only after they have registered; before that each
// would consider itself the first hub.
void fleet_state::publish_members() {
    const auto settled_by = this->started_at + max_settling_time;
    const auto now = this->services.loop.time().now();
    if (!this->is_settled && now < settled_by) {
        if (this->settling_timer == 0)
            this->settling_timer = this->services.loop.schedule(settled_by - now, [this] {
                this->settling_timer = 0;
                this->publish_members();
            });
        return;
    }
    this->services.loop.cancel(std::exchange(this->settling_timer, 0));
    if (this->members_handler)
        this->members_handler(this->known_members);
}

// Creates this gateway's entry, or replaces the entry of an earlier incarnation if that differs,
// for example in the address.
void fleet_state::register_self(bool entry_exists) {
    if (std::exchange(this->is_registering, true))
        return;
    const auto done = [this, entry_exists](discovery::feed_result result) {
        this->is_registering = false;
        const auto* reason = std::get_if<kernel::error>(&result);
        if (const auto* page = std::get_if<discovery::feed_page>(&result))
            this->registered_at = {page->era, page->revision};
        if (reason == nullptr)
            return;
        this->services.events.write(kernel::severity::warning, "member.not_registered",
                                    std::nullopt, {{"reason", reason->detail}});
        const bool entry_state_differs = reason->kind == kernel::error_kind::conflict ||
                                         reason->kind == kernel::error_kind::not_found;
        this->schedule_registration(entry_state_differs ? !entry_exists : entry_exists);
    };
    const auto content = this->services.codec.write_member(this->self);
    const auto kind = discovery::collection::members;
    auto& feeds = this->services.feeds;
    this->registration = entry_exists ? feeds.replace(kind, this->self.name, content, done)
                                      : feeds.create(kind, this->self.name, content, done);
}

void fleet_state::schedule_registration(bool entry_exists) {
    this->services.loop.cancel(this->registration_timer);
    this->registration_timer =
        this->services.loop.schedule(registration_retry_delay, [this, entry_exists] {
            this->registration_timer = 0;
            this->register_self(entry_exists);
        });
}

void fleet_state::remove_member(const std::string& name) {
    this->services.events.write(kernel::severity::warning, "member.absent", std::nullopt,
                                {{"member", name}});
    this->removal = this->services.feeds.remove(
        discovery::collection::members, name, [this, name](const discovery::feed_result& result) {
            const auto* reason = std::get_if<kernel::error>(&result);
            // A failed removal is requested again after absence_timing::removal_interval.
            this->services.events.write(kernel::severity::info, "member.removed", std::nullopt,
                                        {{"member", name},
                                         {"done", reason == nullptr},
                                         {"reason", reason == nullptr ? "" : reason->detail}});
        });
}

void fleet_state::expire_missing_targets() {
    this->catalog.remove_expired(this->services.loop.time().now());
    this->drained_data_centres.expire();
    this->confirm_members();
    this->expiry_timer =
        this->services.loop.schedule(expiry_interval, [this] { this->expire_missing_targets(); });
}

void fleet_state::offer(std::string_view content) {
    this->apply_configuration(content, "peer");
}

void fleet_state::apply_configuration(std::string_view content, std::string_view source) {
    kernel::error reason;
    auto read = this->services.codec.read_configuration(content, reason);
    if (!read) {
        this->services.events.write(kernel::severity::error, "configuration.rejected", std::nullopt,
                                    {{"source", std::string(source)}, {"reason", reason.detail}});
        return;
    }
    const auto version = read->version;
    if (this->current_table != nullptr && version <= this->current_table->values().version) {
        if (version < this->current_table->values().version)
            this->services.events.write(kernel::severity::warning, "configuration.ignored",
                                        std::nullopt,
                                        {{"version", version},
                                         {"in_force", this->current_table->values().version},
                                         {"source", std::string(source)}});
        return;
    }
    this->current_content = content;
    this->current_table = std::make_shared<const routing::route_table>(std::move(*read));
    this->dispatch.set_table(this->current_table);
    this->services.events.write(
        kernel::severity::info, "configuration.adopted", std::nullopt,
        {{"version", version},
         {"routes", std::uint64_t{this->current_table->values().routes.size()}},
         {"source", std::string(source)},
         {"era", this->configuration_feed.position().era},
         {"revision", this->configuration_feed.position().revision}});
}

void fleet_state::configuration_receiver::replace(
    const std::vector<discovery::feed_object>& objects) {
    this->apply(objects, "list");
}

void fleet_state::configuration_receiver::change(std::span<const discovery::feed_object> objects) {
    this->apply(objects, "change");
}

void fleet_state::configuration_receiver::apply(std::span<const discovery::feed_object> objects,
                                                std::string_view source) {
    for (const auto& object : objects)
        // If the configuration object is removed, the last valid configuration stays in force.
        if (object.name == main_configuration && !object.is_removed)
            this->state.apply_configuration(object.content, source);
}

void fleet_state::target_receiver::replace(const std::vector<discovery::feed_object>& objects) {
    std::vector<discovery::target> registrations;
    for (const auto& object : objects) {
        kernel::error reason;
        if (auto read = this->state.services.codec.read_target(object.name, object.content, reason))
            registrations.push_back(std::move(*read));
        else
            this->state.services.events.write(kernel::severity::warning, "target.rejected",
                                              std::nullopt,
                                              {{"target", object.name}, {"reason", reason.detail}});
    }
    this->state.catalog.replace(std::move(registrations), this->state.services.loop.time().now());
}

void fleet_state::target_receiver::change(std::span<const discovery::feed_object> objects) {
    for (const auto& object : objects)
        this->change_one(object);
}

void fleet_state::target_receiver::change_one(const discovery::feed_object& object) {
    const auto now = this->state.services.loop.time().now();
    if (object.is_removed) {
        this->state.catalog.remove(object.name, now);
        return;
    }
    kernel::error reason;
    if (auto read = this->state.services.codec.read_target(object.name, object.content, reason)) {
        this->state.catalog.update(std::move(*read), now);
        return;
    }
    this->state.services.events.write(kernel::severity::warning, "target.rejected", std::nullopt,
                                      {{"target", object.name}, {"reason", reason.detail}});
    this->state.catalog.remove(object.name, now);
}

void fleet_state::target_receiver::on_source_regained() {
    this->state.catalog.on_registry_regained(this->state.services.loop.time().now());
}

void fleet_state::target_receiver::on_source_restored() {
    this->state.catalog.on_registry_restored(this->state.services.loop.time().now());
}

void fleet_state::drained_receiver::replace(const std::vector<discovery::feed_object>& objects) {
    this->drained.replace(objects);
    this->publish();
}

void fleet_state::drained_receiver::change(std::span<const discovery::feed_object> objects) {
    this->drained.change(objects);
    this->publish();
}

void fleet_state::drained_receiver::on_source_restored() {
    this->drained.on_source_restored(this->state.services.loop.time().now());
}

void fleet_state::drained_receiver::expire() {
    if (this->drained.expire(this->state.services.loop.time().now()))
        this->publish();
}

void fleet_state::drained_receiver::publish() const {
    this->state.catalog.set_drained_data_centres(this->drained.names());
}

void fleet_state::collection_receiver::replace(const std::vector<discovery::feed_object>& listed) {
    this->objects.clear();
    for (const auto& object : listed)
        this->objects[object.name] = object.content;
    this->change_handler(this->objects);
}

void fleet_state::collection_receiver::change(std::span<const discovery::feed_object> changed) {
    for (const auto& object : changed) {
        if (object.is_removed)
            this->objects.erase(object.name);
        else
            this->objects[object.name] = object.content;
    }
    this->change_handler(this->objects);
}

} // namespace samphirespool::gateway
