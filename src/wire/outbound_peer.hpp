// The sending side towards one peer: a bounded queue, a connection made when it is needed, and a
// growing pause after each failure.
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

    void send(frame_kind kind, std::span<const std::uint8_t> payload);
    // The peer was heard of: connect at the next payload without waiting longer.
    void reset_back_off();
    // Neither connected nor used since the time given.
    bool unused_since(helpers::time_point since) const;

private:
    struct queued {
        frame_kind kind;
        bytes payload;
    };
    enum class state : std::uint8_t {
        idle,
        connecting,
        greeting,
        ready,
    };

    static void on_connect(h2o_socket_t* socket, const char* error);
    static void on_read(h2o_socket_t* socket, const char* error);
    static void on_written(h2o_socket_t* socket, const char* error);
    void connect();
    void take_greeting();
    void connect_again();
    void schedule_flush();
    void flush();
    void append(frame_kind kind, std::span<const std::uint8_t> payload);
    void fail();
    void close();

    transport_context& context;
    helpers::endpoint to;
    state now_in = state::idle;
    h2o_socket_t* socket = nullptr;
    std::optional<frame_encoder> encoder;
    std::deque<queued> queue;
    // Invariant: sum of the payload sizes in the queue.
    std::size_t queue_bytes = 0;
    // Bytes under way in the socket; must not change until written.
    bytes writing;
    bool write_pending = false;
    kernel::timer_id connect_timeout = 0;
    kernel::timer_id flush_task = 0;
    helpers::duration back_off{};
    helpers::time_point not_before{};
    helpers::time_point last_used{};
};

} // namespace samphirespool::wire
