// The HTTP/1.1 server on h2o: accepts connections, holds the limits, hands exchanges to a handler.
#pragma once

#include "http/event_loop.hpp"
#include "http/lingering_close.hpp"
#include "http/response_stream.hpp"
#include "http/server.hpp"
#include "http/tls_keys.hpp"

#include <list>
#include <memory>

namespace samphirespool::http {

class h2o_server final : public server {
public:
    // Returns null, with the reason, if the address cannot be listened on. `keys` may be null for
    // plain TCP and must outlive the server.
    static std::unique_ptr<h2o_server> listen(event_loop& loop, const helpers::endpoint& at,
                                              const server_limits& limits, const tls_keys* keys,
                                              exchange_handler handler, kernel::error& reason);
    ~h2o_server() override;
    h2o_server(const h2o_server&) = delete;
    h2o_server& operator=(const h2o_server&) = delete;

    std::uint16_t port() const override { return this->bound_port; }
    void stop_accepting() override;
    // Answers that the callers have not taken to the last byte.
    std::size_t responses_in_progress() const;
    std::size_t connections() const { return this->state->open.size(); }

private:
    struct connection final : connection_record {
        h2o_server* owner = nullptr;
        h2o_socket_t* socket = nullptr;
        std::list<connection>::iterator place;
        // Since when a part of a request has been waiting for the rest.
        std::optional<helpers::time_point> partial_since;
    };

    struct handler_slot {
        h2o_handler_t super;
        h2o_server* owner;
    };

    // Sees the refusals that h2o makes by itself, such as of a body that is too large.
    struct refusal_slot {
        h2o_filter_t super;
        h2o_server* owner;
    };

    // What h2o's open connections refer to.
    struct h2o_state {
        h2o_globalconf_t configuration{};
        h2o_context_t context{};
        h2o_accept_ctx_t accept_context{};
        handler_slot* slot = nullptr;
        refusal_slot* refusals = nullptr;
        std::list<connection> open;
    };

    h2o_server(event_loop& loop, const server_limits& limits, const tls_keys* keys,
               exchange_handler handler, int descriptor);

    static void on_accept(h2o_socket_t* listener, const char* error);
    static void on_close(void* data);
    static void on_refusal(h2o_filter_t* self, h2o_req_t* request, h2o_ostream_t** slot);
    static int on_request(h2o_handler_t* self, h2o_req_t* request);

    void setup_h2o();
    void accept(h2o_socket_t* socket);
    void handle(h2o_req_t& request);
    void sweep();
    void sweep(connection& each, helpers::time_point now) const;

    event_loop& loop;
    server_limits limits;
    const tls_keys* keys;
    exchange_handler handler;
    std::unique_ptr<h2o_state> state = std::make_unique<h2o_state>();
    // Null once stop_accepting() was called.
    h2o_socket_t* listener = nullptr;
    std::uint16_t bound_port = 0;
    kernel::timer_id sweep_timer = 0;
    lingering_close refused;
};

} // namespace samphirespool::http
