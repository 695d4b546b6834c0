// Listens, keeps the table of requests, leaves.
#include "gateway/gateway.hpp"

#include "http/error_response.hpp"

#include <array>

namespace samphirespool::gateway {

namespace {

// Balancers ask once a second and take a gateway out after two misses. Until then callers still
// come, and a refusal would cost them a detour.
constexpr helpers::duration least_leave = std::chrono::milliseconds(3300);
// Requests that come later would still be at work when the process has to end.
constexpr helpers::duration last_entry = std::chrono::milliseconds(2800);
// The rest of the grace time is for what is on its way.
constexpr helpers::duration leave_margin = std::chrono::milliseconds(500);
constexpr helpers::duration leave_interval = std::chrono::milliseconds(50);
constexpr helpers::duration comes_back_elsewhere = std::chrono::milliseconds(20);
// Idle connections to targets are kept this long; most targets keep them longer.
constexpr helpers::duration pooled_for = std::chrono::milliseconds(2500);
constexpr std::array<double, 12> latency_bounds{0.01, 0.02, 0.05, 0.1, 0.2, 0.3,
                                                0.5,  0.8,  1.5,  3,   6,   15};
constexpr int status_ok = 200;

std::uint64_t seed_of(const settings::gateway_settings& settings, const kernel::clock& time) {
    return helpers::hash_name(settings.name) ^ static_cast<std::uint64_t>(time.wall());
}

// Later lives of a gateway have larger values.
helpers::incarnation life_of(const kernel::clock& time) {
    return {static_cast<std::uint64_t>(time.wall())};
}

exchange::member self_of(const settings::gateway_settings& settings) {
    return {settings.name, settings.data_centre, settings.peer_listen,
            static_cast<std::uint32_t>(settings.link_mbps * settings.cpu_share)};
}

exchange::exchange_timing timing_of(const settings::gateway_settings& settings) {
    constexpr double bytes_per_megabit = 125'000;
    // The rest of the link is for callers and targets.
    constexpr double part_for_news = 0.2;
    exchange::exchange_timing timing;
    timing.news_bytes_per_second = settings.link_mbps * bytes_per_megabit * part_for_news;
    return timing;
}

dispatch_settings dispatch_settings_of(const settings::gateway_settings& settings) {
    dispatch_settings result;
    result.self = settings.name;
    result.data_centre = settings.data_centre;
    result.engine_choice = settings.engine_choice;
    result.plain_choice = settings.plain_choice;
    result.repeats = {settings.retry_ratio, settings.retry_burst, settings.retry_window};
    result.cold = {settings.cold_overage, settings.cold_slack};
    return result;
}

http::client_limits target_limits() {
    http::client_limits limits;
    limits.pooled_for = pooled_for;
    limits.pooled_per_target = 16;
    return limits;
}

} // namespace

gateway::gateway(http::event_loop& loop, kernel::hybrid_clock& order,
                 const settings::gateway_settings& settings, std::vector<wire::bytes> keys,
                 kernel::event_sink& events, discovery::feed_source& feeds,
                 const object_codec& reader, const header_names& names)
    : loop(loop),
      settings(settings),
      events(events),
      names(names),
      random(seed_of(settings, loop.time())),
      measured(loop.time()),
      target_client(loop, target_limits()),
      catalog(events, {}),
      dispatch(loop, this->random, events, this->catalog, dispatch_settings_of(settings)),
      transport(loop, order, this->random,
                {settings.peer_listen, life_of(loop.time()), std::move(keys)}),
      link(this->transport),
      fleet({loop, this->random, events, feeds, reader}, this->catalog, this->dispatch,
            self_of(settings)),
      node(loop, events, this->link, this->fleet.feeds(), settings.name, timing_of(settings)),
      services{loop,          this->random, events,         this->target_client, this->dispatch,
               this->catalog, this->names,  this->counters, this->latencies,     this->leaving},
      early(
          loop, [this] { return this->fleet.is_complete(); },
          [this](std::unique_ptr<http::exchange> incoming, helpers::time_point arrived) {
              this->accept(std::move(incoming), arrived);
          }) {
    this->watch_metrics();
    this->fleet.on_members([this](const auto& members) { this->node.set_members(members); });
    this->node.on_absent([this](const std::string& name) { this->fleet.remove_member(name); });
    this->node.set_counts([this] { return this->dispatch.own_counts(); });
    this->node.on_others(
        [this](const auto& others, std::uint32_t rest, helpers::duration interval) {
            this->dispatch.set_others(others, rest, interval);
        });
}

gateway::~gateway() {
    this->loop.cancel(this->leave_timer);
}

void gateway::watch_metrics() {
    const auto watch = [this](const char* name, const char* help, const std::uint64_t& value) {
        this->measured.watch_counter({name, help}, [&value] { return value; });
    };
    watch("requests_total", "requests of callers", this->counters.requests);
    watch("requests_answered_total", "passed a target's answer on", this->counters.answered);
    watch("requests_refused_total", "refused and not run", this->counters.refused);
    watch("requests_failed_total", "ended with an error, may have run", this->counters.failed);
    watch("requests_departed_total", "the caller closed first", this->counters.departed);
    watch("streams_broken_total", "streams cut off", this->counters.broken_streams);
    watch("streams_resumed_total", "continued at another target", this->counters.resumed);
    watch("repeats_total", "sent to a target once more", this->counters.repeats);
    watch("targets_suspected_total", "left alone as the fleet's requests fail there",
          this->dispatch.suspicions());
    this->measured.watch_gauge({"requests_waiting", "waiting for a target"},
                               [this] { return static_cast<double>(this->dispatch.waiting()); });
    this->measured.watch_gauge({"requests_in_progress", "not ended"},
                               [this] { return static_cast<double>(this->requests.size()); });
    this->measured.watch_gauge({"configuration_version", "in force here"}, [this] {
        const auto& table = this->fleet.table();
        return table == nullptr ? 0.0 : static_cast<double>(table->values().version);
    });
    this->measured.watch_gauge({"store_reachable", "1 if the last call was answered"},
                               [this] { return this->fleet.is_source_reachable() ? 1.0 : 0.0; });
    auto& first = this->measured.make_histogram(
        {"first_part_seconds", "from the request to the first part of its answer"}, latency_bounds);
    auto& total = this->measured.make_histogram({"request_seconds", "from the request to its end"},
                                                latency_bounds);
    this->latencies.first_part = [&first](double seconds) { first.record(seconds); };
    this->latencies.total = [&total](double seconds) { total.record(seconds); };
}

bool gateway::start(kernel::error& reason) {
    http::server_limits limits;
    // The configuration's limits are within these; see routing::caller_limits.
    limits.max_body_bytes = routing::caller_limits{}.max_body_bytes;
    limits.max_header_bytes = routing::caller_limits{}.max_header_bytes;
    limits.request_timeout = routing::caller_limits{}.header_timeout;
    // Longer than any idle time that callers use.
    limits.idle_timeout = std::chrono::seconds(75);
    limits.max_connections = this->settings.max_connections;
    this->callers = http::h2o_server::listen(
        this->loop, this->settings.caller_listen, limits, nullptr,
        [this](std::unique_ptr<http::exchange> incoming) { this->early.take(std::move(incoming)); },
        reason);
    if (this->callers == nullptr)
        return false;
    this->ready = http::h2o_server::listen(
        this->loop, this->settings.ready_listen, {}, nullptr,
        [this](std::unique_ptr<http::exchange> incoming) { this->answer_ready(*incoming); },
        reason);
    if (this->ready == nullptr)
        return false;
    this->metrics_server = http::h2o_server::listen(
        this->loop, this->settings.metrics_listen, {}, nullptr,
        [this](std::unique_ptr<http::exchange> incoming) {
            incoming->respond(status_ok, {{"content-type", "text/plain; version=0.0.4"}},
                              this->measured.prometheus_text());
        },
        reason);
    if (this->metrics_server == nullptr)
        return false;
    if (auto fault = this->transport.start()) {
        reason = std::move(*fault);
        return false;
    }
    this->fleet.start();
    this->node.start();
    return true;
}

void gateway::answer_ready(http::exchange& incoming) const {
    if (this->is_ready()) {
        incoming.respond(status_ok, {}, "ready\n");
        return;
    }
    http::respond_with_error(
        incoming,
        {{this->leaving ? kernel::error_kind::shutting_down : kernel::error_kind::not_ready, ""}});
}

void gateway::accept(std::unique_ptr<http::exchange> incoming, helpers::time_point arrived) {
    if (this->leaving && this->loop.time().now() - this->left_at > last_entry) {
        this->refuse_while_leaving(*incoming);
        return;
    }
    const auto sequence = ++this->last_sequence;
    auto request = std::make_unique<proxied_request>(
        this->services, std::move(incoming), this->fleet.table(), arrived, sequence,
        [this, sequence] {
            this->loop.post([this, sequence] { this->requests.erase(sequence); });
        });
    auto& started = *request;
    this->requests.emplace(sequence, std::move(request));
    started.start();
}

void gateway::refuse_while_leaving(http::exchange& incoming) {
    incoming.close_connection_after();
    const auto facts = read_request_facts(incoming.request(), this->names);
    ++this->counters.refused;
    this->events.write(kernel::severity::info, "request.ended", std::nullopt,
                       {{"request_id", facts.id},
                        {"outcome", std::string("not run")},
                        {"reason", std::string("the gateway is leaving")}});
    http::error_response answer;
    answer.reason = {kernel::error_kind::shutting_down, "the gateway is leaving"};
    answer.request_id = facts.id;
    answer.retry_after = comes_back_elsewhere;
    http::respond_with_error(incoming, answer);
}

void gateway::shut_down(kernel::task done) {
    if (this->leaving)
        return;
    this->leaving = true;
    this->left = std::move(done);
    this->left_at = this->loop.time().now();
    this->node.leave();
    this->events.write(kernel::severity::info, "gateway.leaving", std::nullopt,
                       {{"in_progress", std::uint64_t{this->requests.size()}}});
    this->check_left();
}

void gateway::check_left() {
    const auto since = this->loop.time().now() - this->left_at;
    const bool late = since >= this->settings.shutdown_grace - leave_margin;
    const bool idle = this->requests.empty() && this->callers->answers_in_progress() == 0;
    if (!late && (since < least_leave || !idle)) {
        this->leave_timer = this->loop.schedule(leave_interval, [this] { this->check_left(); });
        return;
    }
    for (const auto& [sequence, request] : this->requests)
        request->give_up({kernel::error_kind::shutting_down, "the gateway's time is over"});
    this->callers->stop_accepting();
    this->leave_timer = this->loop.schedule(leave_interval, [this] { this->finish(); });
}

void gateway::finish() {
    this->leave_timer = 0;
    this->events.write(kernel::severity::info, "gateway.left", std::nullopt,
                       {{"in_progress", std::uint64_t{this->requests.size()}}});
    this->left();
}

} // namespace samphirespool::gateway
