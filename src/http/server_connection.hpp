// One accepted connection: reads requests as far as there is memory for them, hands complete ones
// to h2o, and refuses those that cannot be served while they are still arriving.
#pragma once

#include "http/event_loop.hpp"
#include "http/intake_policy.hpp"
#include "http/lingering_close.hpp"
#include "http/memory_account.hpp"
#include "http/request_intake.hpp"
#include "http/response_stream.hpp"

#include <list>
#include <memory>
#include <optional>
#include <string>

namespace samphirespool::http {

class server_connection;

// What the connections of one server share.
struct connection_services {
    event_loop& loop;
    server_limits limits;
    intake_policy& policy;
    memory_account& memory;
    lingering_close& lingering;
    exchange_handler handler;
    // In the order in which they were accepted.
    std::list<server_connection>& open;
};

class server_connection final : public connection_record, public memory_holder {
public:
    // The caller puts it into `services.open`; it is erased when the socket closes.
    server_connection(connection_services& services, h2o_socket_t* socket);
    ~server_connection();

    // Begins to serve the connection, after the TLS handshake if there are keys. `accept_context`
    // must outlive it. `place` is where the connection is among the open ones.
    void start(std::list<server_connection>::iterator place, h2o_accept_ctx_t& accept_context,
               SSL_CTX* keys);

    static server_connection& of(h2o_req_t& request);
    // Passes a request that h2o has read to the handler.
    void handle(h2o_req_t& request);

    // Enforces the timeouts; called periodically.
    void check_timeouts(helpers::time_point now);
    // Closes the connection unless it has begun to send a request.
    void close_if_idle();
    // The server is destroyed; the connection is closed by the event loop later.
    void abandon();

    // How readily the connection is closed to make room for another one; the first is closed first.
    enum class disposability : std::uint8_t {
        // Has never sent a byte.
        silent,
        // Has sent a part of a request, and nothing for a while.
        stuck,
        // Has been idle for longer than callers come back after.
        outdated,
        needed,
    };
    disposability readiness_to_close(helpers::time_point now) const;
    void close_for_another();

    // Bytes have arrived that no response has answered.
    bool has_unanswered() const;

private:
    enum class phase : std::uint8_t {
        handshake,
        // h2o is between two requests.
        between,
        receiving,
        // Reading waits for memory.
        paused,
        // h2o has the request.
        delivered,
        // To be refused when the loop runs next.
        refused,
    };

    static server_connection& of(h2o_socket_t* socket);
    static void on_close(void* record);
    static void on_handshake(h2o_socket_t* socket, const char* error);
    static void on_readable(h2o_socket_t* socket, const char* error);
    static void on_ignored(h2o_socket_t* socket, const char* error);
    static void on_continue_written(h2o_socket_t* socket, const char* error);

    void start_http();
    // Puts on_readable in front of h2o's reader. h2o installs that for each request, in the
    // iteration of the event loop in which the request before was destroyed; no bytes are read
    // before the task runs.
    void schedule_next_request();
    void begin_request();
    void receive();
    void receive_rest_later();
    // Returns the next bytes; nothing if there are none now, and an empty view at the end.
    std::optional<std::string_view> read_some();
    // Returns whether the connection goes on receiving.
    bool process(std::string_view data);
    bool judge();
    // Makes room for so many bytes of the request that is arriving. Returns whether there is any.
    bool reserve_memory(std::size_t bytes);
    void pause();
    void retry_paused();
    // Lets a long body arrive faster, if there is memory for that.
    void widen_for_long_body();
    std::size_t wide_bytes() const;
    void set_receive_buffer(std::size_t bytes);
    void free_input();
    void send_continue();
    // Moves what h2o has decrypted to `pending`.
    void take_decrypted();
    // Hands the request, or a placeholder for one that is refused, to h2o, which may destroy this
    // object before the function returns.
    void deliver();
    // Responds, closes the connection, and reports the event if there is one.
    void refuse(error_response response, std::string_view event);
    // Refuses when the loop runs next, as this can be called for another connection.
    void refuse_later(std::string_view reason);
    error_response no_memory() const;
    void report(std::string_view reason) const;
    void note_progress(std::size_t bytes);
    void count_held();
    std::size_t total_held() const;

    void request_destroyed() override;
    void exchange_destroyed() override;
    void buffered_changed() override { this->count_held(); }
    void hold(std::size_t bytes) override;

    std::optional<helpers::time_point> stalled_since() const override;
    std::size_t evictable() const override;
    void evict() override;

    // Null once the server was destroyed.
    connection_services* services;
    h2o_socket_t* socket;
    // In the list of open connections.
    std::list<server_connection>::iterator place;
    h2o_accept_ctx_t* accept_context = nullptr;
    phase current = phase::handshake;
    bool is_secure = false;
    // h2o's own reader of requests; set while receiving.
    h2o_socket_cb h2o_reader = nullptr;
    request_intake intake;
    // Of the current request, from its first byte on.
    request_limits limits;
    // Received beyond the current request.
    std::string pending;
    // Of the request that h2o has, until it is handled.
    std::string body;
    std::optional<error_response> refusal;
    // The head of the current request was judged before its body was complete.
    bool is_judged = false;
    // The receive buffer is larger than usual.
    bool is_wide = false;
    bool is_writing_continue = false;
    // Has sent a byte of a request.
    bool was_used = false;
    // Nothing more is counted for the current request.
    bool is_evicted = false;
    // Memory of the request that h2o or the handler has, and what the handler holds besides.
    std::size_t request_bytes = 0;
    std::size_t handler_bytes = 0;
    std::size_t bytes_since_progress = 0;
    helpers::time_point progress_at;
    helpers::time_point last_byte_at;
    // Of the current request.
    helpers::time_point first_byte_at{};
    // Start of the handshake, of the idle time, of the head or of the body.
    helpers::time_point phase_began_at;
    helpers::time_point paused_at{};
    helpers::duration body_timeout{};
    std::optional<helpers::duration> retry_after;
    kernel::timer_id timer = 0;
};

} // namespace samphirespool::http
