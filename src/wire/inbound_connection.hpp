// An accepted connection from a peer: sends the challenge, then only reads frames.
#pragma once

#include "wire/transport_context.hpp"

#include <functional>
#include <optional>

namespace samphirespool::wire {

class inbound_connection {
public:
    struct events {
        std::function<void(const helpers::endpoint& from, const received_frame&)> on_frame;
        // Runs when the peer has announced its address.
        std::function<void(const helpers::endpoint& from)> on_hello;
        // Runs after the connection was closed or failed; the owner then destroys the object.
        std::function<void(inbound_connection&)> on_closed;
    };

    inbound_connection(transport_context& context, h2o_socket_t* socket, const events& listener);
    ~inbound_connection();
    inbound_connection(const inbound_connection&) = delete;
    inbound_connection& operator=(const inbound_connection&) = delete;

    // The peer has proved that it belongs to the fleet.
    bool is_known() const { return this->peer_address.has_value(); }
    helpers::time_point opened_at() const { return this->opened; }

private:
    static void on_read(h2o_socket_t* socket, const char* error);
    static void on_written(h2o_socket_t* socket, const char* error);
    void read_available();
    void handle_frame(const received_frame& received);
    void handle_hello(const received_frame& frame);
    // Stops reading and runs on_closed in the next loop iteration.
    void schedule_close();

    transport_context& context;
    h2o_socket_t* socket;
    const events& listener;
    helpers::time_point opened;
    challenge session_challenge;
    frame_decoder decoder;
    // Unset until the hello frame was received; other frames before it are rejected.
    std::optional<helpers::endpoint> peer_address;
    // Closes the connection if no hello frame was received in time; later runs on_closed.
    kernel::timer_id hello_timer = 0;
};

} // namespace samphirespool::wire
