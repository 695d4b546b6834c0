// Loads the first version when a router starts, and connects writer, relay, peers and collector.
#include "store/configuration_store.hpp"

#include <utility>

namespace samphirespool::store {

namespace {

// Names of chunks contain the writer's name, so it must be unique for every incarnation of every
// router.
configuration_store_settings with_writer(configuration_store_settings settings,
                                         const config::peer_router& self, const kernel::loop& loop,
                                         kernel::random_source& random) {
    if (settings.writer.writer.empty())
        settings.writer.writer = self.name + "-" + std::to_string(loop.time().wall()) + "-" +
                                 std::to_string(random.next());
    return settings;
}

} // namespace

configuration_store::configuration_store(kernel::loop& loop, kernel::random_source& random,
                                         kernel::event_sink& events, object_store& objects,
                                         config::configuration_network& network,
                                         const config::peer_directory& directory,
                                         const configuration_store_settings& settings)
    : loop(loop),
      events(events),
      objects(objects),
      directory(directory),
      settings(with_writer(settings, directory.self(), loop, random)),
      loader(this->manager),
      source(objects),
      writer(loop, objects, this->manager, this->loader, this->settings.writer),
      relay(loop, random, objects, directory, this->manager, this->loader, this->writer,
            settings.relay),
      peers(loop, random, network, directory, this->manager, this->loader, this->vm_list,
            settings.peers),
      collector(loop, objects, settings.collector) {}

configuration_store::~configuration_store() {
    this->loop.cancel(this->timer);
}

void configuration_store::start() {
    this->started_at = this->loop.time().now();
    this->manager.on_change([this] { this->on_configuration_changed(); });
    this->peers.on_vms_changed([this] {
        for (const auto& listener : this->listeners)
            listener();
    });
    const auto publisher = helpers::hash_name(this->directory.self().name);
    this->relay.on_vms([this, publisher](const std::vector<helpers::vm_entry>& listed) {
        if (!this->vm_list.publish(listed, publisher))
            return;
        this->peers.push_to_peers();
        for (const auto& listener : this->listeners)
            listener();
    });
    this->peers.start();
    this->tick();
}

void configuration_store::tick() {
    if (!this->is_ready)
        this->load_first_version();
    else
        this->collector.tick(config::is_collector(this->directory));
    this->relay.tick();
    this->timer = this->loop.schedule(this->settings.tick, [this] { this->tick(); });
}

std::shared_ptr<const config::fleet_configuration> configuration_store::current() const {
    return this->is_ready ? this->manager.current() : nullptr;
}

void configuration_store::on_change(std::function<void()> listener) {
    this->listeners.push_back(std::move(listener));
}

void configuration_store::change(config::change_request request,
                                 std::function<void(config::change_result)> callback) {
    this->writer.submit(std::move(request), std::move(callback));
}

// The store's root holds the highest version. While the store cannot be reached, the highest
// version among the peers is used.
void configuration_store::load_first_version() {
    this->peers.request_digests();
    if (!this->is_loading && this->may_load_from_store())
        this->load_from_store();
    const auto elapsed = this->loop.time().now() - this->started_at;
    const auto highest = this->peers.highest_peer_version();
    const auto has_highest =
        this->manager.has_state() && highest && this->manager.state().root.version >= *highest;
    if (this->store_failed && has_highest && elapsed >= this->settings.store_timeout)
        this->become_ready();
}

// Waits for peers at first: once they have sent their state, only the chunks that differ are loaded
// from the store.
bool configuration_store::may_load_from_store() const {
    return this->manager.has_state() || this->directory.peers().empty() ||
           this->loop.time().now() - this->started_at >= this->settings.peer_timeout;
}

void configuration_store::load_from_store() {
    this->is_loading = true;
    this->loader.load(this->source, [this](load_status status) {
        this->is_loading = false;
        this->store_failed = status == load_status::failed;
        if (status == load_status::failed || this->is_ready)
            return;
        if (!this->manager.has_state())
            this->manager.adopt(config::initial_state());
        this->become_ready();
    });
}

void configuration_store::become_ready() {
    this->is_ready = true;
    this->events.write(kernel::severity::info, "configuration.ready", std::nullopt,
                       {{"version", this->manager.state().root.version}});
    this->on_configuration_changed();
}

void configuration_store::on_configuration_changed() {
    this->peers.push_to_peers();
    if (!this->is_ready)
        return;
    this->events.write(kernel::severity::info, "configuration.in_force", std::nullopt,
                       {{"version", this->manager.state().root.version}});
    for (const auto& listener : this->listeners)
        listener();
}

} // namespace samphirespool::store
