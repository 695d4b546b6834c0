// Starts the listener for operators and reloads its TLS keys.
#include "admin/admin_server.hpp"

#include "http/descriptor_shares.hpp"

#include <algorithm>

namespace samphirespool::admin {

admin_intake::admin_intake(const settings::router_settings& settings,
                           const http::request_limits& limits, kernel::event_sink& events,
                           const kernel::clock& time)
    : http::logged_policy("admin", limits, events, time), access(settings.admin_tokens) {}

http::head_decision admin_intake::judge(const http::server_request& head) const {
    http::head_decision result;
    if (!this->access.authenticate(head.headers)) {
        result.refusal.emplace();
        result.refusal->reason = {kernel::error_kind::unauthorized,
                                  "a valid token is required: authorization: Bearer TOKEN"};
    }
    return result;
}

admin_server::admin_server(http::event_loop& loop, const settings::router_settings& settings,
                           const admin_context& context, http::memory_account& memory)
    : loop(loop),
      settings(settings),
      events(context.events),
      memory(memory),
      handler(context, settings.admin_tokens),
      intake(settings,
             http::limits_with_timeouts(max_body_bytes, settings.request_timeout,
                                        settings.idle_timeout),
             context.events, loop.time()) {
    if (settings.admin_tls)
        this->keys.emplace(settings.admin_tls->certificate_file, settings.admin_tls->key_file);
}

bool admin_server::listen(kernel::error& reason) {
    if (this->keys && !this->keys->load(reason))
        return false;
    http::server_limits limits;
    limits.request = this->intake.limits();
    const auto shares = http::shares_of(http::descriptor_limit(this->settings.max_descriptors));
    limits.max_connections = std::min(max_connections, shares.others);
    limits.reserved_from = shares.reserved_from;
    limits.idle_timeout = this->settings.idle_timeout;
    this->server = http::h2o_server::listen(
        {this->loop, this->intake, this->memory, this->keys ? &*this->keys : nullptr},
        this->settings.admin_listen, limits,
        [this](std::unique_ptr<http::exchange> incoming) {
            this->handler.handle(std::move(incoming));
        },
        reason);
    return this->server != nullptr;
}

void admin_server::reload_keys() {
    if (!this->keys)
        return;
    kernel::error reason;
    if (this->keys->load(reason))
        this->events.write(kernel::severity::info, "admin.tls_reloaded", {}, {});
    else
        this->events.write(kernel::severity::error, "admin.tls_reload_failed", {},
                           {{"reason", reason.detail}});
}

} // namespace samphirespool::admin
