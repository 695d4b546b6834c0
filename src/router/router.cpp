// Constructs the services of one router, and runs its startup and shutdown.
#include "router/router.hpp"

#include "admin/metric_sources.hpp"
#include "http/descriptor_shares.hpp"
#include "http/intake_metrics.hpp"
#include "router/metric_sources.hpp"
#include "settings/machine_memory.hpp"

namespace samphirespool::router {

namespace {

constexpr helpers::duration tick_period = std::chrono::milliseconds(100);
// Longest wait until other routers have taken over the shares and grants of this one.
constexpr helpers::duration max_hand_over = std::chrono::seconds(3);
// Time to send the last membership message before the process ends.
constexpr helpers::duration final_flush_time = std::chrono::milliseconds(100);

membership::member_record record_of(const settings::router_settings& settings,
                                    const router_identity& identity,
                                    const helpers::endpoint& address) {
    membership::member_record record;
    record.id = identity.id;
    record.name = settings.name;
    record.address = address;
    record.data_centre = settings.data_centre;
    record.region = settings.region;
    record.incarnation = identity.incarnation;
    return record;
}

claims::claim_settings claim_settings_of(const settings::router_settings& settings,
                                         const router_identity& identity) {
    claims::claim_settings result;
    result.writer = settings.name + "/" + std::to_string(identity.incarnation.value);
    return result;
}

} // namespace

struct router::fleet_services {
    explicit fleet_services(router& owner)
        : members(owner.loop, owner.random, owner.transport, owner.store, owner.events,
                  record_of(owner.settings, owner.identity, owner.transport.self()),
                  owner.settings.seeds),
          directory(members.view()),
          link(owner.transport),
          configuration(owner.loop, owner.random, owner.events, owner.store, link, directory, {}),
          view(owner.loop, owner.random, configuration),
          shares(owner.loop, owner.transport, members, view, owner.target_client),
          claim_link(owner.transport),
          journals(owner.store),
          claims(owner.loop, directory, claim_link, journals,
                 claim_settings_of(owner.settings, owner.identity)),
          path(owner.loop, owner.settings, owner.identity, view, shares.reservations(), claims,
               owner.target_client, owner.events, owner.memory),
          limits(owner.loop, owner.transport, members, view, path.queue()),
          status({owner.loop.time(), owner.settings, owner.identity, members, view, shares, path,
                  owner.store}),
          admin(owner.loop, owner.settings,
                {configuration, status, owner.metrics, owner.events, owner.random},
                owner.memory.account()) {}

    membership_service members;
    member_directory directory;
    wire::configuration_link link;
    store::configuration_store configuration;
    fleet_view view;
    share_service shares;
    wire::claims_link claim_link;
    store::journal_store journals;
    claims::claim_manager claims;
    request_path path;
    limit_service limits;
    fleet_status status;
    admin::admin_server admin;
};

std::unique_ptr<router> router::open(http::event_loop& loop, kernel::hybrid_clock& order,
                                     const settings::router_settings& settings,
                                     kernel::event_sink& events, kernel::error& reason) {
    auto keys = wire::parse_fleet_keys(settings.fleet_keys);
    if (!keys) {
        reason = {kernel::error_kind::invalid_settings, "fleet_keys are invalid"};
        return nullptr;
    }
    std::unique_ptr<router> result(new router(loop, order, settings, events, std::move(*keys)));
    if (auto fault = result->transport.start()) {
        reason = std::move(*fault);
        return nullptr;
    }
    result->fleet = std::make_unique<fleet_services>(*result);
    auto& fleet = *result->fleet;
    if (!fleet.path.server().listen(reason) || !fleet.admin.listen(reason))
        return nullptr;
    result->transport.on_refused(
        [&fleet](const auto& address) { fleet.members.on_connection_refused(address); });
    fleet.path.server().handler().set_ready(false);
    fleet.configuration.on_change([&fleet] {
        if (const auto current = fleet.configuration.current())
            fleet.members.set_configuration(current->version);
        fleet.members.apply_vm_list(fleet.configuration.vms());
    });
    admin::register_transport_metrics(result->metrics, result->transport.counters());
    admin::register_process_metrics(result->metrics);
    register_router_metrics(result->metrics,
                            {fleet.path, fleet.shares, fleet.members, result->store});
    http::register_response_metrics(result->metrics, "samphirespool_", "targets",
                                    {&result->target_client.faults(),
                                     &fleet.path.server().handler().counters().response_faults});
    http::register_response_metrics(result->metrics, "samphirespool_", "store",
                                    {&result->store_client.faults()});
    register_intake_metrics(result->metrics, fleet.path.server(), fleet.admin);
    fleet.configuration.start();
    result->tick();
    return result;
}

router::router(http::event_loop& loop, kernel::hybrid_clock& order,
               const settings::router_settings& settings, kernel::event_sink& events,
               std::vector<wire::bytes> keys)
    : loop(loop),
      settings(settings),
      events(events),
      identity(make_identity(settings, loop.time())),
      random(seed_of(settings)),
      metrics(loop.time()),
      transport(loop, order, this->random,
                {settings.peer_listen, this->identity.incarnation, std::move(keys),
                 http::shares_of(http::descriptor_limit(settings.max_descriptors)).peers}),
      store_client(loop, {}),
      target_client(loop, {}),
      http_store(loop, this->store_client, {settings.store}),
      store(this->http_store),
      memory(settings::memory_limit_mb(settings.memory_limit_mb), loop.time()) {}

router::~router() {
    this->loop.cancel(this->timer);
}

daemon_ports router::ports() const {
    return {this->fleet->path.server().port(), this->fleet->admin.port(),
            this->transport.self().port};
}

bool router::is_ready() const {
    if (this->fleet->configuration.current() == nullptr)
        return false;
    // With neither peers nor store, this router cannot learn of configuration changes.
    return this->store.reachable() || this->fleet->members.live_count() > 1;
}

void router::tick() {
    this->timer = this->loop.schedule(tick_period, [this] { this->tick(); });
    const bool ready = this->is_ready();
    this->fleet->path.server().handler().set_ready(ready);
    auto& members = this->fleet->members;
    if (this->shutdown_handler)
        return;
    if (ready && members.view().self().state == membership::member_state::joining)
        members.announce(membership::member_state::ready);
    if (!members.superseded())
        return;
    this->events.write(kernel::severity::error, "router.superseded", std::nullopt,
                       {{"name", this->settings.name}});
    this->shut_down([this] { this->loop.stop(); });
}

void router::shut_down(kernel::task done) {
    if (this->shutdown_handler)
        return;
    this->shutdown_handler = std::move(done);
    this->events.write(kernel::severity::info, "router.leaving", std::nullopt, {});
    this->fleet->members.announce(membership::member_state::leaving);
    this->fleet->path.server().shut_down([this] {
        this->hand_over_deadline = this->loop.time().now() + max_hand_over;
        this->hand_over();
    });
}

void router::hand_over() {
    const bool expired = this->loop.time().now() >= this->hand_over_deadline;
    if (!expired && !this->fleet->shares.shares().handed_over()) {
        this->loop.schedule(tick_period, [this] { this->hand_over(); });
        return;
    }
    this->finish_shutdown();
}

void router::finish_shutdown() {
    this->fleet->members.leave();
    this->loop.schedule(final_flush_time, [this] { this->shutdown_handler(); });
}

void router::reload_keys() {
    this->fleet->path.server().reload_keys();
    this->fleet->admin.reload_keys();
}

} // namespace samphirespool::router
