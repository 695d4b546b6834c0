// HTTP server for callers: listener, TLS keys and their reload, request handler, graceful shutdown.
#pragma once

#include "http/caller_memory.hpp"
#include "http/event_loop.hpp"
#include "http/h2o_server.hpp"
#include "http/logged_policy.hpp"
#include "router/request_handler.hpp"
#include "settings/router_settings.hpp"

#include <memory>
#include <optional>

namespace samphirespool::router {

// Judges callers' requests by their heads, while their bodies arrive.
class caller_intake final : public http::logged_policy {
public:
    caller_intake(const settings::router_settings& settings, request_handler& requests,
                  kernel::event_sink& events, const kernel::clock& time);

    http::head_decision judge(const http::server_request& head) const override;

private:
    request_handler& requests;
};

class caller_server {
public:
    caller_server(http::event_loop& loop, const settings::router_settings& settings,
                  const request_context& context, http::caller_memory& memory);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    // Returns false, with the reason, if the keys or the address cannot be used.
    bool listen(kernel::error& reason);
    // Only after listen().
    std::uint16_t port() const { return this->server->port(); }
    request_handler& handler() { return this->requests; }
    const request_handler& handler() const { return this->requests; }
    const http::h2o_server& listener() const { return *this->server; }
    const http::memory_account& account() const { return this->memory.account(); }

    // Reloads the TLS keys from their files; keeps the current ones if the new ones are invalid.
    void reload_keys();

    // Fails the health check, rejects new requests, and runs `done` once every response has been
    // sent completely. After settings.shutdown_grace, aborts the requests whose response has not
    // started and runs `done` in any case.
    void shut_down(kernel::task done);

private:
    void check_drained();
    void finish_shutdown(helpers::time_point until);
    bool is_drained() const;

    http::event_loop& loop;
    const settings::router_settings& settings;
    kernel::event_sink& events;
    std::optional<http::tls_keys> keys;
    http::caller_memory& memory;
    request_handler requests;
    caller_intake intake;
    // Null before listen().
    std::unique_ptr<http::h2o_server> server;
    kernel::task shutdown_handler;
    helpers::time_point shutdown_deadline{};
    kernel::timer_id drain_timer = 0;
};

} // namespace samphirespool::router
