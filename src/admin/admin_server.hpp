// HTTP server for operators: listener, TLS keys, limits, and the handler of the administration API.
#pragma once

#include "admin/admin_handler.hpp"
#include "http/event_loop.hpp"
#include "http/h2o_server.hpp"
#include "http/logged_policy.hpp"
#include "http/tls_keys.hpp"

#include <memory>
#include <optional>

namespace samphirespool::admin {

// Rejects calls without a token before their bodies are received.
class admin_intake final : public http::logged_policy {
public:
    admin_intake(const settings::router_settings& settings, const http::request_limits& limits,
                 kernel::event_sink& events, const kernel::clock& time);

    http::head_decision judge(const http::server_request& head) const override;

private:
    access_control access;
};

class admin_server {
public:
    // The settings must outlive the server.
    admin_server(http::event_loop& loop, const settings::router_settings& settings,
                 const admin_context& context, http::memory_account& memory);

    // Returns false, with the reason, if the keys or the address cannot be used.
    bool listen(kernel::error& reason);

    // Reloads the TLS keys from their files, for new connections; keeps the current ones if the new
    // ones are invalid.
    void reload_keys();

    // Responses in progress continue.
    void stop_accepting() { this->server->stop_accepting(); }

    // Only after listen().
    const http::h2o_server& listener() const { return *this->server; }
    // 0 before listen().
    std::uint16_t port() const { return this->server == nullptr ? 0 : this->server->port(); }

    // An import sends the whole configuration in one body.
    static constexpr std::size_t max_body_bytes = std::size_t{64} << 20;
    static constexpr std::size_t max_connections = 256;

private:
    http::event_loop& loop;
    const settings::router_settings& settings;
    kernel::event_sink& events;
    std::optional<http::tls_keys> keys;
    http::memory_account& memory;
    admin_handler handler;
    admin_intake intake;
    // Null before listen(). Destroyed first: its exchanges refer to the handler.
    std::unique_ptr<http::h2o_server> server;
};

} // namespace samphirespool::admin
