// Starts the listener for operators and reloads its TLS keys.
#include "admin/admin_server.hpp"

namespace samphirespool::admin {

admin_server::admin_server(http::event_loop& loop, const settings::router_settings& settings,
                           const admin_context& context)
    : loop(loop),
      settings(settings),
      events(context.events),
      handler(context, settings.admin_tokens) {
    if (settings.admin_tls)
        this->keys.emplace(settings.admin_tls->certificate_file, settings.admin_tls->key_file);
}

bool admin_server::listen(kernel::error& reason) {
    if (this->keys && !this->keys->load(reason))
        return false;
    http::server_limits limits;
    limits.max_body_bytes = max_body_bytes;
    limits.max_connections = max_connections;
    limits.request_timeout = this->settings.request_timeout;
    limits.idle_timeout = this->settings.idle_timeout;
    this->server = http::h2o_server::listen(
        this->loop, this->settings.admin_listen, limits, this->keys ? &*this->keys : nullptr,
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
