// Helpers for tests that run a server and a client over real sockets on one event loop.
#pragma once

#include "http/event_loop.hpp"
#include "http/h2o_client.hpp"
#include "http/standalone_server.hpp"

#include <functional>
#include <optional>
#include <string>

namespace samphirespool::tests {

// Ends a test that would otherwise wait forever. No assertion depends on it expiring.
constexpr auto test_timeout = std::chrono::seconds(20);

// Runs the loop until the condition is true or test_timeout has passed.
inline void run_until(http::event_loop& loop, const std::function<bool()>& condition) {
    bool timed_out = false;
    const auto guard = loop.schedule(test_timeout, [&] { timed_out = true; });
    while (!condition() && !timed_out)
        loop.run_once();
    loop.cancel(guard);
}

// Records the response to one call.
struct recording_listener final : http::response_listener {
    void on_head(int received_status, const http::header_list& fields) override {
        this->status = received_status;
        this->headers = fields;
    }
    void on_body(std::span<const char> data) override {
        this->body.append(data.data(), data.size());
    }
    void on_done() override { this->done = true; }
    void on_failed(const kernel::error& reason, bool maybe_sent) override {
        this->failure = reason;
        this->sent = maybe_sent;
    }
    bool ended() const { return this->done || this->failure.has_value(); }

    int status = 0;
    http::header_list headers;
    std::string body;
    bool done = false;
    // The `maybe_sent` of on_failed().
    bool sent = false;
    std::optional<kernel::error> failure;
};

// Starts a server on a free port of the loopback address.
inline std::unique_ptr<http::standalone_server> serve(http::event_loop& loop,
                                                      http::exchange_handler handler,
                                                      const http::server_limits& limits = {}) {
    kernel::error reason;
    return http::standalone_server::listen(loop, {"127.0.0.1", 0}, limits, std::move(handler),
                                           reason);
}

} // namespace samphirespool::tests
