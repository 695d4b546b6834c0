// Interface of the HTTP server: handlers receive exchanges and answer them now or later.
#pragma once

#include "http/message.hpp"
#include "kernel/loop.hpp"

#include <functional>
#include <memory>
#include <span>
#include <string_view>

namespace samphirespool::http {

// The request of an exchange; views are valid as long as the exchange lives.
struct server_request {
    std::string_view method;
    // The Host field, with its port if there is one.
    std::string_view authority;
    // Without query.
    std::string_view path;
    // Without the question mark.
    std::string_view query;
    std::string_view body;
    const header_list& headers;
};

// One request and its answer. The handler owns it; destroying it before finish() breaks the
// connection visibly, so that a caller never takes a part for the whole.
class exchange {
public:
    virtual ~exchange() = default;
    virtual server_request request() const = 0;

    // Answers with a complete body.
    virtual void respond(int status, header_list headers, std::string_view body) = 0;

    // Answers in parts: begin, then any number of writes, then finish.
    virtual void begin(int status, header_list headers) = 0;
    virtual void write(std::span<const char> data) = 0;
    virtual void finish() = 0;

    // The connection takes no further request after this one's answer. Call it before the answer.
    virtual void close_connection_after() {}

    // Bytes written and not yet taken by the connection.
    virtual std::size_t buffered() const = 0;

    // Runs after a write each time the connection has taken all that was buffered.
    virtual void on_drained(kernel::task work) = 0;

    // Runs once if the caller departs before the answer is complete. Afterwards every other call
    // does nothing.
    virtual void on_disconnected(kernel::task work) = 0;
};

using exchange_handler = std::function<void(std::unique_ptr<exchange>)>;

struct server_limits {
    std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;
    // Of the request line and all header fields together.
    std::size_t max_header_bytes = std::size_t{32} * 1024;
    helpers::duration request_timeout = std::chrono::seconds(10);
    helpers::duration idle_timeout = std::chrono::seconds(60);
    std::size_t max_connections = 20'000;
};

class server {
public:
    virtual ~server() = default;

    // The port in use, also if the settings asked for port 0.
    virtual std::uint16_t port() const = 0;

    // Accepts no new connections and closes those that are idle; exchanges in progress go on.
    virtual void stop_accepting() = 0;
};

} // namespace samphirespool::http
