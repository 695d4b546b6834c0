// Starts and ends the listener for callers.
#include "router/caller_front.hpp"

#include <utility>

namespace samphirespool::router {

namespace {

constexpr auto drain_check_interval = std::chrono::milliseconds(20);

} // namespace

caller_front::caller_front(http::event_loop& loop, const settings::router_settings& settings,
                           const request_context& context)
    : loop(loop), settings(settings), events(context.events), requests(context) {
    if (settings.caller_tls)
        this->keys.emplace(settings.caller_tls->certificate_file, settings.caller_tls->key_file);
}

caller_front::~caller_front() {
    this->loop.cancel(this->leave_timer);
}

bool caller_front::listen(kernel::error& reason) {
    if (this->keys && !this->keys->load(reason))
        return false;
    http::server_limits limits;
    limits.max_body_bytes = this->settings.max_body_bytes;
    limits.request_timeout = this->settings.request_timeout;
    limits.idle_timeout = this->settings.idle_timeout;
    limits.max_connections = this->settings.max_connections;
    this->server = http::h2o_server::listen(
        this->loop, this->settings.caller_listen, limits, this->keys ? &*this->keys : nullptr,
        [this](std::unique_ptr<http::exchange> incoming) {
            this->requests.handle(std::move(incoming));
        },
        reason);
    return this->server != nullptr;
}

void caller_front::reload_keys() {
    if (!this->keys)
        return;
    kernel::error reason;
    if (this->keys->load(reason))
        this->events.write(kernel::severity::info, "tls.reloaded", std::nullopt, {});
    else
        this->events.write(kernel::severity::error, "tls.reload_failed", std::nullopt,
                           {{"reason", reason.detail}});
}

void caller_front::leave(kernel::task done) {
    if (this->requests.is_leaving())
        return;
    this->left = std::move(done);
    this->leave_by = this->loop.time().now() + this->settings.shutdown_grace;
    this->requests.leave();
    this->check_drained();
}

bool caller_front::drained() const {
    return this->requests.live() == 0 && this->server->responses_in_progress() == 0;
}

// New connections are still taken until then, so that the balancer sees the failing health check
// and late callers a clear refusal.
void caller_front::check_drained() {
    const bool late = this->loop.time().now() >= this->leave_by;
    if (late)
        this->requests.give_up_all();
    if (!late && !this->drained()) {
        this->leave_timer =
            this->loop.schedule(drain_check_interval, [this] { this->check_drained(); });
        return;
    }
    this->server->stop_accepting();
    this->left();
}

} // namespace samphirespool::router
