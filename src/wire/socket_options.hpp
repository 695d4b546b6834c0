// Socket calls for connections between the processes of the fleet, which h2o does not offer.
#pragma once

#include "helpers/endpoint.hpp"

#include <netinet/in.h>
#include <sys/socket.h>

#include <optional>

namespace samphirespool::wire {

struct socket_address {
    sockaddr_storage storage{};
    socklen_t length = 0;

    sockaddr* as_sockaddr() { return reinterpret_cast<sockaddr*>(&this->storage); }
};

// Returns nothing unless the endpoint holds a numeric IP address.
std::optional<socket_address> make_socket_address(const helpers::endpoint& address);

// Disables the delay of small writes (TCP_NODELAY), and closes connections on which the peer has
// not acknowledged anything for some seconds.
void set_connection_options(int descriptor);

// Starts a non-blocking connection. Returns its socket, or nothing on failure.
std::optional<int> open_connection(const helpers::endpoint& address);

// Result of a connection attempt: 0 or the error number.
int connection_error(int descriptor);

// Opens a non-blocking listening socket. Returns nothing on failure. Sets `address.port` to the
// port that was bound.
std::optional<int> open_listener(helpers::endpoint& address);

} // namespace samphirespool::wire
