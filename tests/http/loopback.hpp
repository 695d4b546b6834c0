// A server and a client on one event loop, for tests over real sockets.
#pragma once

#include "http/event_loop.hpp"
#include "http/h2o_client.hpp"
#include "http/h2o_server.hpp"

#include <functional>
#include <optional>
#include <string>

namespace samphirespool::tests {

// Ends a test that would wait for ever; no assertion depends on it being reached.
constexpr auto give_up_after = std::chrono::seconds(20);

inline void run_until(http::event_loop& loop, const std::function<bool()>& reached) {
    bool given_up = false;
    const auto guard = loop.schedule(give_up_after, [&] { given_up = true; });
    while (!reached() && !given_up)
        loop.run_once();
    loop.cancel(guard);
}

struct recording_listener final : http::response_listener {
    void on_head(int given, const http::header_list& fields) override {
        this->status = given;
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
    bool sent = false;
    std::optional<kernel::error> failure;
};

inline std::unique_ptr<http::h2o_server> serve(http::event_loop& loop,
                                               http::exchange_handler handler,
                                               const http::server_limits& limits = {}) {
    kernel::error reason;
    return http::h2o_server::listen(loop, {"127.0.0.1", 0}, limits, nullptr, std::move(handler),
                                    reason);
}

} // namespace samphirespool::tests
