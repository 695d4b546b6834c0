// The listener for operators: TLS keys, limits, and the administration API behind it.
#pragma once

#include "admin/admin_handler.hpp"
#include "http/event_loop.hpp"
#include "http/h2o_server.hpp"
#include "http/tls_keys.hpp"

#include <memory>
#include <optional>

namespace samphirespool::admin {

class admin_front {
public:
    // The settings must outlive this.
    admin_front(http::event_loop& loop, const settings::router_settings& settings,
                const admin_context& context);

    bool listen(kernel::error& reason);

    // Takes renewed TLS keys for new connections; on a fault those in use stay.
    void reload_keys();

    // Answers in progress go on.
    void stop_accepting() { this->server->stop_accepting(); }

    // 0 before listen().
    std::uint16_t port() const { return this->server == nullptr ? 0 : this->server->port(); }

    // An import holds the whole configuration.
    static constexpr std::size_t max_body_bytes = std::size_t{64} << 20;
    static constexpr std::size_t max_connections = 256;

private:
    http::event_loop& loop;
    const settings::router_settings& settings;
    kernel::event_sink& events;
    std::optional<http::tls_keys> keys;
    admin_handler handler;
    // Null before listen(). Destroyed first: its exchanges refer to the handler.
    std::unique_ptr<http::h2o_server> server;
};

} // namespace samphirespool::admin
