// A call of the h2o client: one request and its response.
#pragma once

#include "http/client.hpp"
#include "http/h2o_client.hpp"
#include "http/response_reader.hpp"

#include <array>
#include <string>

namespace samphirespool::http {

class h2o_call final : public client_call {
public:
    h2o_call(event_loop& loop, const client_limits& limits, kernel::response_fault_counts& faults,
             const client_request& request, response_listener& listener);
    ~h2o_call() override;
    h2o_call(const h2o_call&) = delete;
    h2o_call& operator=(const h2o_call&) = delete;

    // Sends on a pooled connection, or on a new one if `pool` is null.
    void connect(h2o_http1client_ctx_t& context, h2o_socketpool_t* pool);
    void pause() override;
    void resume() override;
    void discard_connection() override;

private:
    enum class phase : std::uint8_t {
        connecting,
        waiting_for_head,
        reading_body,
        finished,
    };

    // Lives on the stack of a callback from h2o and records whether the listener destroyed the call
    // during it.
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
    // Puts on_request_written and on_head_readable in front of h2o's own callbacks. h2o's reader
    // accepts heads that the grammar does not allow, and aborts the process when a connection fails
    // after an interim response, or when a header field that it needs is malformed. It runs once
    // the final head is complete and was judged.
    void intercept_head();
    static void on_request_written(h2o_socket_t* socket, const char* error);
    static void on_head_readable(h2o_socket_t* socket, const char* error);
    // Passes what was not judged yet to the reader. Returns false if the call has failed.
    bool judge_received(const h2o_socket_t& socket);
    void cancel_and_fail(kernel::error_kind kind, std::string detail,
                         kernel::response_fault fault = kernel::response_fault::none);
    static h2o_call& call_of(h2o_socket_t* socket) {
        return *static_cast<h2o_call*>(static_cast<h2o_http1client_t*>(socket->data)->data);
    }

    // Runs in front of h2o's own reader of the body, which mistakes a connection closed between two
    // chunks, or a reset within a response without a length, for the end of the response.
    static void on_body_readable(h2o_socket_t* socket, const char* error);
    static int on_body(h2o_http1client_t* native, const char* error);

    // Whether on_body_readable runs in front of h2o's reader of this body.
    bool is_body_intercepted() const;
    // Installs on_body_readable.
    void intercept_body();
    // Runs within a callback from h2o.
    void complete();
    // Bounds what the kernel receives ahead on a connection with a large response.
    void narrow_receive_buffer();
    void fail(kernel::error_kind kind, std::string detail,
              kernel::response_fault fault = kernel::response_fault::none);
    void start_timer(helpers::duration wait);
    void on_timer();
    void serialize(const client_request& request);

    event_loop& loop;
    kernel::response_fault_counts& faults;
    response_listener& listener;
    helpers::endpoint to;
    // The serialized request. Invariant: unchanged after connect(); h2o writes from it.
    std::string message;
    // The message, and the body that the caller of the client keeps.
    std::array<h2o_iovec_t, 2> request_vectors{};
    bool is_head_method;
    helpers::duration connect_timeout;
    helpers::duration first_byte_timeout;
    helpers::duration idle_timeout;

    // Null before connect() and after h2o has finished the call.
    h2o_http1client_t* native = nullptr;
    // While the listener is told that the response is complete, what `native` was; null otherwise.
    h2o_http1client_t* completed = nullptr;
    phase current_phase = phase::connecting;
    callback_scope* scope = nullptr;
    kernel::timer_id timer = 0;
    helpers::time_point started{};
    // The field that the response has to repeat so that its connection is used again. The name is
    // empty if there is none.
    header_field echoed;
    // When body data was last received.
    helpers::time_point last_progress{};
    std::size_t max_body_bytes;
    std::size_t body_bytes = 0;
    bool paused = false;
    // Read callback of the socket while the call is paused.
    h2o_socket_cb paused_reader = nullptr;
    bool is_narrow = false;
    response_reader reader;
    // Bytes at the front of the socket's input that the reader has judged.
    std::size_t judged_bytes = 0;
    // h2o's own callbacks, which on_request_written and on_head_readable call.
    h2o_socket_cb h2o_write_callback = nullptr;
    h2o_socket_cb h2o_head_reader = nullptr;
    // h2o's own reader of the body, which on_body_readable calls.
    h2o_socket_cb h2o_body_reader = nullptr;
    // The connection was closed or reset before the response was complete.
    bool closed_early = false;
    kernel::timer_id intercept_timer = 0;
    // Points to a flag that the destructor sets, while on_body_readable runs; null otherwise.
    bool* destroyed_flag = nullptr;
};

} // namespace samphirespool::http
