// A socket address made from an endpoint.
#pragma once

#include "helpers/endpoint.hpp"

#include <sys/socket.h>

namespace samphirespool::http {

class socket_address {
public:
    // The endpoint must hold a numeric IP address.
    static socket_address of(const helpers::endpoint& endpoint);

    // The local port of a bound socket; 0 on failure.
    static std::uint16_t local_port(int descriptor);

    int family() const { return this->storage.ss_family; }
    const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&this->storage); }
    sockaddr* get() { return reinterpret_cast<sockaddr*>(&this->storage); }
    socklen_t size() const { return this->length; }

private:
    sockaddr_storage storage{};
    socklen_t length = 0;
};

} // namespace samphirespool::http
