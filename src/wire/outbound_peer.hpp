// The sending side towards one peer: a bounded queue, a connection that is opened on demand, and an
// exponential backoff after failures.
#pragma once

#include "wire/transport_context.hpp"

#include <deque>
#include <optional>

namespace samphirespool::wire {

class outbound_peer {
public:
    outbound_peer(transport_context& context, helpers::endpoint to);
    ~outbound_peer();
    outbound_peer(const outbound_peer&) = delete;
    outbound_peer& operator=(const outbound_peer&) = delete;

    // Queues a payload. Drops and counts it if the queue is full, if the payload is too large, or
    // during the backoff after a failure.
    void send(frame_kind kind, std::span<const std::uint8_t> payload);
    // Ends the backoff: the next payload opens a connection at once. Called when the peer has shown
    // that it runs.
    void reset_back_off();
    // Whether the peer is disconnected and nothing was sent to it since the given time.
    bool unused_since(helpers::time_point since) const;

private:
    struct queued_payload {
        frame_kind kind;
        bytes payload;
    };
    enum class state : std::uint8_t {
        idle,
        connecting,
        awaiting_challenge,
        ready,
    };

    static void on_connect(h2o_socket_t* socket, const char* error);
    static void on_read(h2o_socket_t* socket, const char* error);
    static void on_written(h2o_socket_t* socket, const char* error);
    void connect();
    void handle_challenge();
    void reconnect();
    void schedule_flush();
    void flush();
    void append(frame_kind kind, std::span<const std::uint8_t> payload);
    void fail();
    void close();

    transport_context& context;
    helpers::endpoint to;
    state current_state = state::idle;
    h2o_socket_t* socket = nullptr;
    std::optional<frame_encoder> encoder;
    std::deque<queued_payload> queue;
    // Invariant: sum of the payload sizes in the queue.
    std::size_t queue_bytes = 0;
    // Encoded frames. Invariant: unchanged while write_pending; h2o reads from it.
    bytes write_buffer;
    bool write_pending = false;
    kernel::timer_id connect_timer = 0;
    // Runs flush() in the next loop iteration, or reconnects; 0 if neither is scheduled.
    kernel::timer_id flush_timer = 0;
    helpers::duration back_off{};
    helpers::time_point next_attempt_at{};
    helpers::time_point last_used{};
};

} // namespace samphirespool::wire
