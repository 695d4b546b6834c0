// Wires up the parts of a gateway, owns its requests, and shuts it down.
#include "gateway/gateway.hpp"

#include "http/error_response.hpp"

#include <algorithm>
#include <array>

namespace samphirespool::gateway {

namespace {

// Load balancers check readiness once a second and remove a gateway after two failed checks. Until
// then callers are still sent here, and a rejection would cost them a retry elsewhere.
constexpr helpers::duration min_shutdown_time = std::chrono::milliseconds(3300);
constexpr helpers::duration shutdown_check_interval = std::chrono::milliseconds(50);
// End of the grace period by which the process has ended, also if callers are still sending.
constexpr helpers::duration exit_margin = std::chrono::milliseconds(150);
// Idle connections to targets are closed after this time; most targets keep them open for longer.
constexpr helpers::duration pool_idle_timeout = std::chrono::milliseconds(2500);
constexpr int status_ok = 200;
// Longer than the idle timeout of any caller.
constexpr helpers::duration connection_idle_timeout = std::chrono::seconds(75);

std::uint64_t seed_of(const settings::gateway_settings& settings, const kernel::clock& time) {
    return helpers::hash_name(settings.name) ^ static_cast<std::uint64_t>(time.wall());
}

// Later incarnations of a gateway have larger values.
helpers::incarnation new_incarnation(const kernel::clock& time) {
    return {static_cast<std::uint64_t>(time.wall())};
}

exchange::member own_member(const settings::gateway_settings& settings) {
    // A port that the system chooses cannot be told to the others.
    const auto relay_address =
        settings.relay_listen.port == 0 ? helpers::endpoint() : settings.relay_listen;
    return {settings.name, settings.data_centre, settings.peer_listen,
            static_cast<std::uint32_t>(settings.link_mbps * settings.cpu_share), relay_address};
}

// Changes of the configuration and of the targets are distributed in the same way, so the shorter
// time applies to both.
discovery::freshness_limits freshness_of(const settings::gateway_settings& settings) {
    return discovery::freshness_limits(
        std::min(settings.configuration_bound, settings.drain_bound));
}

exchange::exchange_timing exchange_timing_of(const settings::gateway_settings& settings) {
    constexpr double bytes_per_megabit = 125'000;
    // Share of the link that feed updates to peers may use; the rest is for callers and targets.
    constexpr double update_link_share = 0.2;
    exchange::exchange_timing timing;
    timing.freshness = freshness_of(settings);
    timing.update_bytes_per_second = settings.link_mbps * bytes_per_megabit * update_link_share;
    return timing;
}

dispatch_settings dispatch_settings_of(const settings::gateway_settings& settings) {
    dispatch_settings result;
    result.own_name = settings.name;
    result.data_centre = settings.data_centre;
    result.engine_choice = settings.engine_choice;
    result.plain_choice = settings.plain_choice;
    result.retry_limits = {settings.retry_ratio, settings.retry_burst, settings.retry_window};
    result.pacing = parse_pacing_mode(settings.target_pace);
    result.cold = {settings.cold_overage, settings.cold_slack};
    return result;
}

// Of readiness checks and reads of the metrics, which have no body.
http::request_limits small_request_limits() {
    http::request_limits result;
    result.max_body_bytes = 0;
    result.max_header_bytes = std::size_t{8} << 10;
    result.header_timeout = std::chrono::seconds(3);
    result.body_timeout = std::chrono::seconds(1);
    result.body_stall_timeout = result.body_timeout;
    return result;
}

std::unique_ptr<rollout_control> make_rollouts(const settings::gateway_settings& settings,
                                               const rollout_services& services) {
    if (settings.rollout_exposure_share <= 0)
        return nullptr;
    rollout::view_settings view;
    // The canary requests take the same part of the share as in the default settings.
    view.canary_share *= settings.rollout_exposure_share / view.exposure_share;
    view.exposure_share = settings.rollout_exposure_share;
    return std::make_unique<rollout_control>(services, view,
                                             seed_of(settings, services.loop.time()));
}

http::client_limits target_limits() {
    http::client_limits limits;
    limits.pooled_for = pool_idle_timeout;
    limits.pooled_per_target = 16;
    return limits;
}

} // namespace

gateway::gateway(http::event_loop& loop, kernel::hybrid_clock& hybrid_time,
                 const settings::gateway_settings& settings, std::vector<wire::bytes> keys,
                 kernel::event_sink& events, discovery::feed_source& feeds,
                 const object_codec& codec, const header_names& names, http::caller_memory& memory)
    : loop(loop),
      settings(settings),
      events(events),
      names(names),
      random(seed_of(settings, loop.time())),
      metric_registry(loop.time()),
      target_client(loop, target_limits()),
      catalog(events, {}),
      dispatch(loop, this->random, events, this->catalog, dispatch_settings_of(settings)),
      crashes(loop, events, settings.name),
      rollouts(make_rollouts(settings,
                             {loop, events, feeds, codec, this->catalog, &this->metric_registry})),
      prober(loop, this->random, events, this->target_client, this->catalog,
             this->dispatch.paths()),
      peers(settings.name, this->random),
      relay_tickets(keys),
      transport(loop, hybrid_time, this->random,
                {settings.peer_listen, new_incarnation(loop.time()), std::move(keys),
                 http::shares_of(http::descriptor_limit(settings.max_descriptors)).peers}),
      peer_link(this->transport),
      fleet({loop, this->random, events, feeds, codec}, this->catalog, this->dispatch,
            own_member(settings), freshness_of(settings), this->rollouts != nullptr),
      load_exchange(loop, events, this->peer_link, this->fleet.feeds(), this->fleet.gate(),
                    settings.name, exchange_timing_of(settings)),
      quarantines(loop, events, feeds, codec, this->crashes),
      archive({loop, events, feeds, codec, this->catalog, this->fleet, this->stream_origins,
               this->load_exchange}),
      shutdown(loop.time(), settings.shutdown_grace),
      memory(memory),
      descriptors(http::shares_of(http::descriptor_limit(settings.max_descriptors))),
      callers([this] { return this->fleet.table(); }, this->names, this->counters, this->random,
              events, loop.time()),
      relays(this->callers, events, loop.time()),
      readiness_checks("readiness", small_request_limits(), events, loop.time()),
      metrics_reads("metrics", small_request_limits(), events, loop.time()),
      services{loop,
               this->random,
               events,
               this->target_client,
               this->dispatch,
               this->crashes,
               this->catalog,
               this->stream_origins,
               this->peers,
               this->relay_tickets,
               this->names,
               this->counters,
               this->latencies,
               this->shutdown,
               this->stream_paces,
               this->memory.budget(),
               codec,
               this->fleet.targets_watch(),
               this->rollouts.get()},
      startup_requests(
          loop, [this] { return this->fleet.is_initialized(); },
          [this](std::unique_ptr<http::exchange> incoming, helpers::time_point arrived) {
              this->accept(std::move(incoming), arrived);
          }) {
    this->register_metrics();
    if (this->rollouts != nullptr)
        this->start_rollouts();
    this->prober.on_restored([this] { this->dispatch.serve_queue(); });
    this->fleet.on_members_changed([this](const auto& members) {
        this->load_exchange.set_members(members);
        this->peers.set_members(members);
        std::vector<std::string> names;
        names.reserve(members.size());
        for (const auto& each : members)
            names.push_back(each.name);
        this->crashes.set_members(std::move(names));
    });
    this->fleet.on_quarantine_changed(
        [this](const auto& entries) { this->quarantines.set_entries(entries); });
    this->quarantines.set_writer_check([this] { return this->load_exchange.is_hub(); });
    this->load_exchange.set_evidence_source([this] { return this->crashes.evidence(); });
    this->load_exchange.on_evidence(
        [this](const auto& received) { this->crashes.merge(received); });
    this->load_exchange.set_configuration_channel(this->fleet);
    this->load_exchange.set_stream_origins(this->stream_origins);
    this->stream_origins.set_archive(&this->archive);
    this->stream_origins.on_recorded([this] {
        if (this->archive.mixed_services() > 0)
            this->load_exchange.report_early();
    });
    this->load_exchange.on_member_absent(
        [this](const std::string& name) { this->fleet.remove_member(name); });
    this->load_exchange.set_limit_source([this] { return this->dispatch.limit_announcements(); });
    this->load_exchange.on_limits(
        [this](const auto& received) { this->dispatch.merge_limits(received); });
    this->load_exchange.set_speed_source([this] { return this->dispatch.speed_announcements(); });
    this->load_exchange.on_speeds(
        [this](const auto& received) { this->dispatch.merge_speeds(received); });
    this->load_exchange.set_own_counts_source([this] { return this->dispatch.report_counts(); });
    this->load_exchange.on_peer_counts([this](const auto& peer_counts,
                                              std::uint32_t max_unlisted_in_flight,
                                              helpers::duration interval) {
        this->dispatch.set_peer_counts(peer_counts, max_unlisted_in_flight, interval);
    });
}

gateway::~gateway() {
    this->loop.cancel(this->shutdown_timer);
}

void gateway::start_rollouts() {
    auto& control = *this->rollouts;
    this->dispatch.set_version_policy(control);
    this->load_exchange.set_rollout_channel(control);
    control.set_decider_check([this] { return this->load_exchange.is_reader(); });
    control.set_targets_check([this] { return this->fleet.are_targets_read(); });
    control.set_confirmation([this] { return this->fleet.rollouts_confirmed_at(); });
    this->fleet.on_rollouts_changed([&control](const auto& orders) { control.set_orders(orders); });
    this->fleet.on_targets_changed([&control] { control.on_targets_changed(); });
    control.start();
}

// The Prometheus text, or the state of the rollouts.
void gateway::respond_with_metrics(http::exchange& incoming) const {
    if (this->rollouts != nullptr && incoming.request().path == "/rollouts") {
        incoming.respond(status_ok, {{"content-type", "application/json"}},
                         this->rollouts->describe());
        return;
    }
    incoming.respond(status_ok, {{"content-type", "text/plain; version=0.0.4"}},
                     this->metric_registry.prometheus_text());
}

std::unique_ptr<http::h2o_server> gateway::listen(const helpers::endpoint& address,
                                                  http::intake_policy& policy,
                                                  std::size_t max_connections,
                                                  http::exchange_handler handler,
                                                  kernel::error& reason) {
    http::server_limits limits;
    limits.request = policy.limits();
    limits.idle_timeout = connection_idle_timeout;
    limits.max_connections = max_connections;
    limits.reserved_from = this->descriptors.reserved_from;
    limits.receive_buffer = this->settings.receive_buffer;
    return http::h2o_server::listen({this->loop, policy, this->memory.account()}, address, limits,
                                    std::move(handler), reason);
}

bool gateway::start(kernel::error& reason) {
    const auto& shares = this->descriptors;
    this->caller_server = this->listen(
        this->settings.caller_listen, this->callers,
        std::min(
            {this->settings.max_connections, shares.callers, this->memory.max_connections(false)}),
        [this](std::unique_ptr<http::exchange> incoming) {
            this->startup_requests.submit(std::move(incoming));
        },
        reason);
    if (this->caller_server == nullptr)
        return false;
    this->relay_server = this->listen(
        this->settings.relay_listen, this->relays,
        std::min(this->settings.max_connections, shares.peers),
        [this](std::unique_ptr<http::exchange> incoming) {
            this->accept_relayed(std::move(incoming));
        },
        reason);
    if (this->relay_server == nullptr)
        return false;
    this->readiness_server = this->listen(
        this->settings.ready_listen, this->readiness_checks, shares.others,
        [this](std::unique_ptr<http::exchange> incoming) {
            this->respond_to_readiness_check(*incoming);
        },
        reason);
    if (this->readiness_server == nullptr)
        return false;
    this->metrics_server = this->listen(
        this->settings.metrics_listen, this->metrics_reads, shares.others,
        [this](std::unique_ptr<http::exchange> incoming) { this->respond_with_metrics(*incoming); },
        reason);
    if (this->metrics_server == nullptr)
        return false;
    this->register_intake_metrics();
    if (auto fault = this->transport.start()) {
        reason = std::move(*fault);
        return false;
    }
    this->fleet.start();
    this->quarantines.start();
    this->load_exchange.start();
    this->archive.start();
    return true;
}

void gateway::respond_to_readiness_check(http::exchange& incoming) const {
    if (this->is_ready()) {
        incoming.respond(status_ok, {}, "ready\n");
        return;
    }
    http::respond_with_error(incoming,
                             {{this->shutdown.has_begun() ? kernel::error_kind::shutting_down
                                                          : kernel::error_kind::not_ready,
                               ""}});
}

void gateway::accept(std::unique_ptr<http::exchange> incoming, helpers::time_point arrived) {
    if (!this->shutdown.is_accepting()) {
        this->reject_while_shutting_down(*incoming);
        return;
    }
    this->start_request(std::move(incoming), arrived, std::nullopt);
}

void gateway::accept_relayed(std::unique_ptr<http::exchange> incoming) {
    const auto request = incoming->request();
    const auto text = http::find_header(request.headers, relay_fields::ticket);
    auto ticket = text ? this->relay_tickets.verify(*text, request) : std::nullopt;
    if (!ticket) {
        this->events.write(kernel::severity::warning, "relay.rejected", std::nullopt,
                           {{"reason", std::string("no valid ticket of this fleet")}});
        http::respond_with_error(*incoming,
                                 {{kernel::error_kind::forbidden, "not a gateway of this fleet"}});
        return;
    }
    ++this->counters.relays_received;
    if (!this->is_ready()) {
        constexpr int unavailable = 503;
        incoming->close_connection_after();
        incoming->respond(unavailable, {{std::string(relay_fields::refused), "not ready"}}, "");
        return;
    }
    const auto arrived = incoming->arrived_at().value_or(this->loop.time().now());
    this->start_request(std::move(incoming), arrived, std::move(ticket));
}

void gateway::start_request(std::unique_ptr<http::exchange> incoming, helpers::time_point arrived,
                            std::optional<relay_ticket> ticket) {
    const auto sequence = ++this->last_sequence;
    auto request = std::make_unique<proxied_request>(
        this->services, std::move(incoming), this->fleet.table(), arrived, sequence,
        [this, sequence] { this->loop.post([this, sequence] { this->requests.erase(sequence); }); },
        std::move(ticket));
    auto& started = *request;
    this->requests.emplace(sequence, std::move(request));
    started.start();
}

void gateway::reject_while_shutting_down(http::exchange& incoming) {
    incoming.close_connection_after();
    const auto metadata = read_request_metadata(incoming.request(), this->names);
    ++this->counters.rejected;
    this->events.write(kernel::severity::info, "request.ended", std::nullopt,
                       {{"request_id", metadata.id},
                        {"outcome", std::string("not run")},
                        {"reason", std::string("the gateway is leaving")}});
    http::error_response response;
    response.reason = {kernel::error_kind::shutting_down, "the gateway is leaving"};
    response.request_id = metadata.id;
    response.retry_after = shutdown_window::reconnect_delay;
    http::respond_with_error(incoming, response);
}

void gateway::shut_down(kernel::task finished) {
    if (this->shutdown.has_begun())
        return;
    this->shutdown.begin();
    this->shutdown_handler = std::move(finished);
    this->load_exchange.resign_hub();
    this->events.write(kernel::severity::info, "gateway.leaving", std::nullopt,
                       {{"in_progress", std::uint64_t{this->requests.size()}}});
    this->check_shutdown();
}

void gateway::check_shutdown() {
    const bool is_idle = this->requests.empty() &&
                         this->caller_server->responses_in_progress() == 0 &&
                         this->relay_server->responses_in_progress() == 0;
    if (!this->shutdown.is_overdue() &&
        (this->shutdown.elapsed() < min_shutdown_time || !is_idle)) {
        this->shutdown_timer =
            this->loop.schedule(shutdown_check_interval, [this] { this->check_shutdown(); });
        return;
    }
    for (const auto& [sequence, request] : this->requests)
        request->abort(
            {kernel::error_kind::shutting_down, "the gateway's shutdown grace period has expired"});
    this->caller_server->stop_accepting();
    this->relay_server->stop_accepting();
    this->shutdown_timer =
        this->loop.schedule(shutdown_check_interval, [this] { this->finish_shutdown(); });
}

void gateway::finish_shutdown() {
    this->shutdown_timer = 0;
    const bool has_unanswered =
        this->caller_server->has_unanswered() || this->relay_server->has_unanswered();
    if (has_unanswered && this->shutdown.elapsed() < this->settings.shutdown_grace - exit_margin) {
        this->shutdown_timer =
            this->loop.schedule(shutdown_check_interval, [this] { this->finish_shutdown(); });
        return;
    }
    this->events.write(kernel::severity::info, "gateway.left", std::nullopt,
                       {{"in_progress", std::uint64_t{this->requests.size()}}});
    this->shutdown_handler();
}

} // namespace samphirespool::gateway
