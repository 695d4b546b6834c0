// Starts the listener for callers and shuts it down gracefully.
#include "router/caller_server.hpp"

#include "http/descriptor_shares.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::router {

namespace {

constexpr auto drain_check_interval = std::chrono::milliseconds(20);
// For the responses to requests that were read last.
constexpr auto max_farewell = std::chrono::milliseconds(500);

} // namespace

caller_intake::caller_intake(const settings::router_settings& settings, request_handler& requests,
                             kernel::event_sink& events, const kernel::clock& time)
    : http::logged_policy("callers",
                          http::limits_with_timeouts(settings.max_body_bytes,
                                                     settings.request_timeout,
                                                     settings.idle_timeout),
                          events, time),
      requests(requests) {}

http::head_decision caller_intake::judge(const http::server_request& head) const {
    http::head_decision result;
    if (auto reason = this->requests.judge(head)) {
        result.refusal.emplace();
        result.refusal->reason = std::move(*reason);
    }
    return result;
}

caller_server::caller_server(http::event_loop& loop, const settings::router_settings& settings,
                             const request_context& context, http::caller_memory& memory)
    : loop(loop),
      settings(settings),
      events(context.events),
      memory(memory),
      requests(context),
      intake(settings, this->requests, context.events, loop.time()) {
    if (settings.caller_tls)
        this->keys.emplace(settings.caller_tls->certificate_file, settings.caller_tls->key_file);
}

caller_server::~caller_server() {
    this->loop.cancel(this->drain_timer);
}

bool caller_server::listen(kernel::error& reason) {
    if (this->keys && !this->keys->load(reason))
        return false;
    http::server_limits limits;
    limits.request = this->intake.limits();
    limits.idle_timeout = this->settings.idle_timeout;
    const auto shares = http::shares_of(http::descriptor_limit(this->settings.max_descriptors));
    limits.max_connections = std::min({this->settings.max_connections, shares.callers,
                                       this->memory.max_connections(this->keys.has_value())});
    limits.reserved_from = shares.reserved_from;
    limits.receive_buffer = this->settings.receive_buffer;
    this->server = http::h2o_server::listen(
        {this->loop, this->intake, this->memory.account(), this->keys ? &*this->keys : nullptr},
        this->settings.caller_listen, limits,
        [this](std::unique_ptr<http::exchange> incoming) {
            this->requests.handle(std::move(incoming));
        },
        reason);
    return this->server != nullptr;
}

void caller_server::reload_keys() {
    if (!this->keys)
        return;
    kernel::error reason;
    if (this->keys->load(reason))
        this->events.write(kernel::severity::info, "tls.reloaded", std::nullopt, {});
    else
        this->events.write(kernel::severity::error, "tls.reload_failed", std::nullopt,
                           {{"reason", reason.detail}});
}

void caller_server::shut_down(kernel::task done) {
    if (this->requests.is_shutting_down())
        return;
    this->shutdown_handler = std::move(done);
    this->shutdown_deadline = this->loop.time().now() + this->settings.shutdown_grace;
    this->requests.begin_shutdown();
    this->check_drained();
}

bool caller_server::is_drained() const {
    return this->requests.requests_in_progress() == 0 && this->server->responses_in_progress() == 0;
}

// New connections are accepted until then, so that the load balancer sees the failing health check
// and late callers get an error response.
void caller_server::check_drained() {
    const bool expired = this->loop.time().now() >= this->shutdown_deadline;
    if (expired)
        this->requests.abort_unanswered();
    if (!expired && !this->is_drained()) {
        this->drain_timer =
            this->loop.schedule(drain_check_interval, [this] { this->check_drained(); });
        return;
    }
    this->server->stop_accepting();
    this->finish_shutdown(this->loop.time().now() + max_farewell);
}

void caller_server::finish_shutdown(helpers::time_point until) {
    if (this->server->has_unanswered() && this->loop.time().now() < until) {
        this->drain_timer = this->loop.schedule(drain_check_interval,
                                                [this, until] { this->finish_shutdown(until); });
        return;
    }
    this->shutdown_handler();
}

} // namespace samphirespool::router
