// Interface of the HTTP server: a handler receives exchanges and responds to them at once or later.
#pragma once

#include "http/message.hpp"
#include "kernel/loop.hpp"

#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace samphirespool::http {

// The request of an exchange. The views are valid until the exchange is destroyed.
struct server_request {
    std::string_view method;
    // The Host field, with its port if there is one.
    std::string_view authority;
    // Without the query.
    std::string_view path;
    // Without the leading question mark.
    std::string_view query;
    std::string_view body;
    const header_list& headers;
};

// One request and its response. The handler owns it. Destroying it before the response is finished
// aborts the connection in a way that the caller can detect, so that a caller does not mistake a
// partial response for a complete one.
class exchange {
public:
    virtual ~exchange() = default;
    virtual server_request request() const = 0;
    // When the first byte of the request arrived, if that is known.
    virtual std::optional<helpers::time_point> arrived_at() const { return std::nullopt; }

    // Sends a response with a complete body.
    virtual void respond(int status, header_list headers, std::string_view body) = 0;

    // Sends a streamed response: begin(), then any number of write() calls, then finish().
    virtual void begin(int status, header_list headers) = 0;
    virtual void write(std::span<const char> data) = 0;
    virtual void finish() = 0;

    // Closes the connection after this response instead of keeping it alive. Must be called before
    // the response begins.
    virtual void close_connection_after() {}

    // Number of bytes that were written but not yet sent.
    virtual std::size_t buffered() const = 0;

    // Sets the handler that runs each time all buffered bytes have been sent.
    virtual void on_drained(kernel::task work) = 0;

    // Sets the handler that runs at most once, if the caller disconnects before the response is
    // complete. All other functions have no effect after that.
    virtual void on_disconnected(kernel::task work) = 0;

    // States how many bytes the handler holds for this exchange, apart from the request and from
    // what it has written. If they do not fit, the exchange may be evicted at once.
    virtual void hold(std::size_t bytes) = 0;

    // Sets the handler that runs at most once, if the exchange is to end for want of memory: it
    // frees what it holds, and responds if it has not begun to. Without a handler the connection is
    // closed.
    virtual void on_evicted(kernel::task work) = 0;
};

using exchange_handler = std::function<void(std::unique_ptr<exchange>)>;

// Limits of one request.
struct request_limits {
    std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;
    // Size of the request line and all header fields together.
    std::size_t max_header_bytes = std::size_t{32} * 1024;
    // Time to receive the rest of a head after its first byte, and the rest of a body after its
    // head.
    helpers::duration header_timeout = std::chrono::seconds(10);
    helpers::duration body_timeout = std::chrono::seconds(10);
    // Longest time without a byte of a body.
    helpers::duration body_stall_timeout = std::chrono::seconds(10);
    // Callers do not use a connection again that has been idle for longer.
    helpers::duration idle_timeout = std::chrono::seconds(60);
};

// Limits with the same time for a head, a body, and a pause within a body.
inline request_limits limits_with_timeouts(std::size_t max_body_bytes,
                                           helpers::duration request_timeout,
                                           helpers::duration idle_timeout) {
    request_limits result;
    result.max_body_bytes = max_body_bytes;
    result.header_timeout = request_timeout;
    result.body_timeout = request_timeout;
    result.body_stall_timeout = request_timeout;
    result.idle_timeout = idle_timeout;
    return result;
}

struct server_limits {
    request_limits request;
    // Limits the time that a write to the connection may take, and the time that a connection is
    // kept without a request.
    helpers::duration idle_timeout = std::chrono::seconds(60);
    std::size_t max_connections = 20'000;
    // Memory of the kernel for bytes of a connection that were received and not read; larger while
    // a body is received that is longer.
    std::size_t receive_buffer = std::size_t{8} << 10;
    // No connection is accepted whose descriptor has this number or a larger one.
    std::size_t reserved_from = std::numeric_limits<int>::max();
};

class server {
public:
    virtual ~server() = default;

    // The port that is listened on, also if port 0 was requested.
    virtual std::uint16_t port() const = 0;

    // Stops listening and closes idle connections. Exchanges in progress continue.
    virtual void stop_accepting() = 0;
};

} // namespace samphirespool::http
