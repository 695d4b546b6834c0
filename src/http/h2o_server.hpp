// The HTTP/1.1 server on h2o: accepts connections as far as there are descriptors for them,
// enforces the limits and passes exchanges to a handler.
#pragma once

#include "http/event_loop.hpp"
#include "http/intake_policy.hpp"
#include "http/lingering_close.hpp"
#include "http/memory_account.hpp"
#include "http/server.hpp"
#include "http/server_connection.hpp"
#include "http/tls_keys.hpp"

#include <list>
#include <memory>

namespace samphirespool::http {

// What a server needs of its process. All of it must outlive the server.
struct server_context {
    event_loop& loop;
    intake_policy& policy;
    // Accounts for what all servers of the process hold.
    memory_account& memory;
    // Null selects plain TCP.
    const tls_keys* keys = nullptr;
};

class h2o_server final : public server {
public:
    // Starts listening. Returns null and sets `reason` if that failed.
    static std::unique_ptr<h2o_server> listen(const server_context& context,
                                              const helpers::endpoint& address,
                                              const server_limits& limits, exchange_handler handler,
                                              kernel::error& reason);
    ~h2o_server() override;
    h2o_server(const h2o_server&) = delete;
    h2o_server& operator=(const h2o_server&) = delete;

    std::uint16_t port() const override { return this->bound_port; }
    void stop_accepting() override;
    // Number of responses that have not been sent completely, including those not yet begun.
    std::size_t responses_in_progress() const;
    // Whether a caller has sent bytes that no response has answered completely.
    bool has_unanswered() const;
    std::size_t connections() const { return this->state->open.size(); }
    // Connections that were refused because too many were open.
    std::uint64_t refused_connections() const { return this->refused; }
    // Connections that were closed to make room for new ones.
    std::uint64_t replaced_connections() const { return this->replaced; }

private:
    // Passes requests from h2o to the server.
    struct request_handler {
        h2o_handler_t super;
        h2o_server* owner;
    };

    // Filters the error responses that h2o generates itself, such as for a malformed head.
    struct rejection_filter {
        h2o_filter_t super;
        h2o_server* owner;
    };

    // State that h2o's open connections refer to; can outlive the server.
    struct h2o_state {
        h2o_globalconf_t configuration{};
        h2o_context_t context{};
        h2o_accept_ctx_t accept_context{};
        request_handler* handler = nullptr;
        rejection_filter* rejections = nullptr;
        std::list<server_connection> open;
    };

    h2o_server(const server_context& context, const server_limits& limits, exchange_handler handler,
               int descriptor);

    static void on_accept(h2o_socket_t* listener, const char* error);
    static void on_h2o_rejection(h2o_filter_t* self, h2o_req_t* request, h2o_ostream_t** next);
    static int on_request(h2o_handler_t* self, h2o_req_t* request);

    void setup_h2o();
    void accept_pending(int most);
    void accept(h2o_socket_t* socket);
    // Closes a connection that is needed less than a new one. Returns whether there was one.
    bool close_one();
    // The process may open no further descriptor; accepting goes on later.
    void pause_accepting();
    // Checks all connections for timeouts, periodically.
    void sweep();

    const tls_keys* keys;
    std::unique_ptr<h2o_state> state = std::make_unique<h2o_state>();
    lingering_close lingering;
    connection_services services;
    // Null once stop_accepting() was called.
    h2o_socket_t* listener = nullptr;
    std::uint16_t bound_port = 0;
    std::uint64_t refused = 0;
    std::uint64_t replaced = 0;
    kernel::timer_id sweep_timer = 0;
    kernel::timer_id accept_timer = 0;
};

} // namespace samphirespool::http
