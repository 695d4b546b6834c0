// One accepted connection: sends the challenge, then only reads frames.
#pragma once

#include "wire/transport_context.hpp"

#include <functional>
#include <optional>

namespace samphirespool::wire {

class inbound_connection {
public:
    struct events {
        std::function<void(const helpers::endpoint& from, const received_frame&)> on_frame;
        std::function<void(const helpers::endpoint& from)> on_hello;
        // The connection is over; the owner destroys it.
        std::function<void(inbound_connection&)> on_end;
    };

    inbound_connection(transport_context& context, h2o_socket_t* socket, const events& listener);
    ~inbound_connection();
    inbound_connection(const inbound_connection&) = delete;
    inbound_connection& operator=(const inbound_connection&) = delete;

private:
    static void on_read(h2o_socket_t* socket, const char* error);
    static void on_written(h2o_socket_t* socket, const char* error);
    void read_available();
    void take(const received_frame& received);
    void take_hello(const received_frame& frame);
    void end();

    transport_context& context;
    h2o_socket_t* socket;
    const events& listener;
    challenge opened_with;
    frame_decoder decoder;
    // Unset until the peer announced itself; frames before that are refused.
    std::optional<helpers::endpoint> from;
    kernel::timer_id hello_timeout = 0;
};

} // namespace samphirespool::wire
