// One call of the h2o client.
#pragma once

#include "http/client.hpp"
#include "http/h2o_client.hpp"

#include <string>

namespace samphirespool::http {

class h2o_call final : public client_call {
public:
    h2o_call(event_loop& loop, const client_limits& limits, const client_request& request,
             response_listener& listener);
    ~h2o_call() override;
    h2o_call(const h2o_call&) = delete;
    h2o_call& operator=(const h2o_call&) = delete;

    // Sends on a pooled connection, or on a new one if `pool` is null.
    void connect(h2o_http1client_ctx_t& context, h2o_socketpool_t* pool);
    void pause() override;
    void resume() override;

private:
    enum class phase : std::uint8_t {
        connecting,
        waiting_for_head,
        reading_body,
        ended,
    };

    // Outlives the call while h2o is inside one of its callbacks, and tells it of the end.
    struct callback_scope {
        explicit callback_scope(h2o_call& call) : call(call) { call.scope = this; }
        ~callback_scope() {
            if (!this->call_destroyed)
                this->call.scope = nullptr;
        }
        callback_scope(const callback_scope&) = delete;
        callback_scope& operator=(const callback_scope&) = delete;

        h2o_call& call;
        bool call_destroyed = false;
    };

    static h2o_http1client_head_cb on_connect(h2o_http1client_t* native, const char* error,
                                              h2o_iovec_t** buffers, std::size_t* count,
                                              int* method_is_head);
    static h2o_http1client_body_cb on_head(h2o_http1client_t* native, const char* error,
                                           int minor_version, int status, h2o_iovec_t message,
                                           h2o_header_t* headers, std::size_t count,
                                           int header_bytes);
    // Stand before h2o's own reader of a head, which ends the process when a connection fails after
    // an interim answer, or when a field it needs is malformed.
    void watch_head();
    static void on_request_written(h2o_socket_t* socket, const char* error);
    static void on_head_readable(h2o_socket_t* socket, const char* error);
    void fail_before_head(std::string detail);
    static h2o_call& call_of(h2o_socket_t* socket) {
        return *static_cast<h2o_call*>(static_cast<h2o_http1client_t*>(socket->data)->data);
    }

    // Stands before h2o's own reader of a body. That one takes a connection that ends between two
    // chunks for the end of the answer, and a reset for the end of an answer without a length.
    static void on_body_readable(h2o_socket_t* socket, const char* error);
    static int on_body(h2o_http1client_t* native, const char* error);

    void watch_body_end();
    void fail(kernel::error_kind kind, std::string detail);
    void arm(helpers::duration wait);
    void on_timer();
    void serialize(const client_request& request);

    event_loop& loop;
    response_listener& listener;
    helpers::endpoint to;
    // Invariant: unchanged from connect() on; h2o writes from it.
    std::string message;
    h2o_iovec_t message_vector{};
    bool is_head_method;
    helpers::duration connect_timeout;
    helpers::duration first_byte_timeout;
    helpers::duration idle_timeout;

    // Null before connect() and after the end of h2o's part.
    h2o_http1client_t* native = nullptr;
    phase current = phase::connecting;
    callback_scope* scope = nullptr;
    kernel::timer_id timer = 0;
    helpers::time_point started{};
    helpers::time_point last_progress{};
    bool paused = false;
    // The reader of the body while paused.
    h2o_socket_cb paused_reader = nullptr;
    bool is_chunked = false;
    // h2o's own callbacks, behind on_request_written and on_head_readable.
    h2o_socket_cb written = nullptr;
    h2o_socket_cb head_reader = nullptr;
    // The answer has no length and ends with its connection.
    bool ends_by_close = false;
    // h2o's own reader of the body, behind on_body_readable.
    h2o_socket_cb body_reader = nullptr;
    // The connection ended where the answer could not end.
    bool broken_off = false;
    kernel::timer_id watch_timer = 0;
    // Set by the destructor while on_body_readable runs.
    bool* destroyed = nullptr;
};

} // namespace samphirespool::http
