// Entry point for callers' requests: answers the health check, parses and validates requests,
// rejects them while the router starts or shuts down, and owns the requests in progress.
#pragma once

#include "http/server.hpp"
#include "router/request_context.hpp"
#include "router/routed_request.hpp"

#include <memory>
#include <optional>
#include <unordered_map>

namespace samphirespool::router {

class request_handler {
public:
    explicit request_handler(const request_context& context) : context(context) {}
    request_handler(const request_handler&) = delete;
    request_handler& operator=(const request_handler&) = delete;

    void handle(std::unique_ptr<http::exchange> incoming);

    // Why a request with this head is rejected, whatever its body is; nothing if it is not.
    std::optional<kernel::error> judge(const http::server_request& head) const;

    // While not ready, for example with neither peers nor store reachable, the health check fails
    // and new requests are rejected.
    void set_ready(bool value) { this->ready = value; }
    bool is_ready() const { return this->ready && !this->shutting_down; }

    // From now on the health check fails and new requests are rejected; requests in progress
    // continue.
    void begin_shutdown() { this->shutting_down = true; }
    bool is_shutting_down() const { return this->shutting_down; }

    // Aborts every request whose response has not started.
    void abort_unanswered();
    std::size_t requests_in_progress() const { return this->requests.size(); }
    const request_counters& counters() const { return this->context.counters; }

private:
    // Why no request can be served now; nothing if they can.
    std::optional<kernel::error> fault() const;
    void respond_health(http::exchange& incoming) const;
    void accept(std::unique_ptr<http::exchange> incoming);
    void reject(http::exchange& incoming, kernel::error reason);

    request_context context;
    // By sequence number, the last part of the request id.
    std::unordered_map<std::uint64_t, std::unique_ptr<routed_request>> requests;
    std::uint64_t last_sequence = 0;
    bool ready = true;
    bool shutting_down = false;
};

} // namespace samphirespool::router
