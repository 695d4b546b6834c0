// Conversion between endpoints and socket addresses.
#include "http/socket_address.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstring>

namespace samphirespool::http {

socket_address socket_address::of(const helpers::endpoint& endpoint) {
    socket_address result;
    sockaddr_in v4{};
    if (inet_pton(AF_INET, endpoint.ip.c_str(), &v4.sin_addr) == 1) {
        v4.sin_family = AF_INET;
        v4.sin_port = htons(endpoint.port);
        std::memcpy(&result.storage, &v4, sizeof(v4));
        result.length = sizeof(v4);
        return result;
    }
    sockaddr_in6 v6{};
    inet_pton(AF_INET6, endpoint.ip.c_str(), &v6.sin6_addr);
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(endpoint.port);
    std::memcpy(&result.storage, &v6, sizeof(v6));
    result.length = sizeof(v6);
    return result;
}

std::uint16_t socket_address::local_port(int descriptor) {
    sockaddr_storage bound{};
    socklen_t length = sizeof(bound);
    if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &length) != 0)
        return 0;
    if (bound.ss_family == AF_INET6)
        return ntohs(reinterpret_cast<const sockaddr_in6*>(&bound)->sin6_port);
    return ntohs(reinterpret_cast<const sockaddr_in*>(&bound)->sin_port);
}

} // namespace samphirespool::http
