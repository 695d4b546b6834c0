// Addresses and options of the sockets between routers.
#pragma once

#include "helpers/endpoint.hpp"

#include <netinet/in.h>
#include <sys/socket.h>

#include <optional>

namespace samphirespool::wire {

struct socket_address {
    sockaddr_storage storage{};
    socklen_t length = 0;

    sockaddr* generic() { return reinterpret_cast<sockaddr*>(&this->storage); }
};

// Returns nothing unless the address is an IP number.
std::optional<socket_address> make_socket_address(const helpers::endpoint& address);

// No delay of small writes; a peer that acknowledges nothing for some seconds counts as gone.
void set_connection_options(int descriptor);

// Starts a non-blocking connection. Returns its socket, or nothing.
std::optional<int> open_connection(const helpers::endpoint& address);

// Outcome of a connection under way: 0 or the error number.
int connection_error(int descriptor);

// A listening, non-blocking socket, or nothing. `address` gets the port that was bound.
std::optional<int> open_listener(helpers::endpoint& address);

} // namespace samphirespool::wire
