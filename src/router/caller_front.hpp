// The side towards callers: listener, TLS keys and their reload, request handler, graceful end.
#pragma once

#include "http/event_loop.hpp"
#include "http/h2o_server.hpp"
#include "router/request_handler.hpp"
#include "settings/router_settings.hpp"

#include <memory>
#include <optional>

namespace samphirespool::router {

class caller_front {
public:
    caller_front(http::event_loop& loop, const settings::router_settings& settings,
                 const request_context& context);
    ~caller_front();
    caller_front(const caller_front&) = delete;
    caller_front& operator=(const caller_front&) = delete;

    // Returns false, with the reason, if the keys or the address cannot be used.
    bool listen(kernel::error& reason);
    std::uint16_t port() const { return this->server->port(); }
    request_handler& handler() { return this->requests; }
    const request_handler& handler() const { return this->requests; }

    // Reads the TLS keys again; the old ones stay if the new ones are faulty.
    void reload_keys();

    // Fails the health check, takes no new requests, and runs `done` once the last byte of every
    // answer has been taken by its caller, or the grace time is over.
    void leave(kernel::task done);

private:
    void check_drained();
    bool drained() const;

    http::event_loop& loop;
    const settings::router_settings& settings;
    kernel::event_sink& events;
    std::optional<http::tls_keys> keys;
    request_handler requests;
    std::unique_ptr<http::h2o_server> server;
    kernel::task left;
    helpers::time_point leave_by{};
    kernel::timer_id leave_timer = 0;
};

} // namespace samphirespool::router
