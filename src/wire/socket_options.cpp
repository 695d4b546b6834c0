// Socket addresses, options, listeners and connection attempts.
#include "wire/socket_options.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <cerrno>

namespace samphirespool::wire {

namespace {

constexpr int user_timeout_ms = 5'000;
constexpr int keep_alive_idle_s = 15;
constexpr int keep_alive_interval_s = 5;
constexpr int listen_backlog = 1024;

void set_option(int descriptor, int level, int name, int value) {
    setsockopt(descriptor, level, name, &value, sizeof value);
}

std::uint16_t bound_port(int descriptor) {
    socket_address bound;
    bound.length = sizeof bound.storage;
    if (getsockname(descriptor, bound.as_sockaddr(), &bound.length) != 0)
        return 0;
    if (bound.storage.ss_family == AF_INET6)
        return ntohs(reinterpret_cast<const sockaddr_in6&>(bound.storage).sin6_port);
    return ntohs(reinterpret_cast<const sockaddr_in&>(bound.storage).sin_port);
}

} // namespace

std::optional<socket_address> make_socket_address(const helpers::endpoint& address) {
    socket_address result;
    auto& v4 = reinterpret_cast<sockaddr_in&>(result.storage);
    if (inet_pton(AF_INET, address.ip.c_str(), &v4.sin_addr) == 1) {
        v4.sin_family = AF_INET;
        v4.sin_port = htons(address.port);
        result.length = sizeof v4;
        return result;
    }
    auto& v6 = reinterpret_cast<sockaddr_in6&>(result.storage);
    if (inet_pton(AF_INET6, address.ip.c_str(), &v6.sin6_addr) != 1)
        return std::nullopt;
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(address.port);
    result.length = sizeof v6;
    return result;
}

void set_connection_options(int descriptor) {
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_ms);
    set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_idle_s);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_interval_s);
}

std::optional<int> open_connection(const helpers::endpoint& address) {
    auto target = make_socket_address(address);
    if (!target)
        return std::nullopt;
    const auto descriptor =
        ::socket(target->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return std::nullopt;
    if (::connect(descriptor, target->as_sockaddr(), target->length) == 0 || errno == EINPROGRESS)
        return descriptor;
    ::close(descriptor);
    return std::nullopt;
}

int connection_error(int descriptor) {
    int error = 0;
    socklen_t size = sizeof error;
    return getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? error : errno;
}

std::optional<int> open_listener(helpers::endpoint& address) {
    auto requested = make_socket_address(address);
    if (!requested)
        return std::nullopt;
    const auto descriptor =
        ::socket(requested->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return std::nullopt;
    set_option(descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
    if (bind(descriptor, requested->as_sockaddr(), requested->length) != 0 ||
        ::listen(descriptor, listen_backlog) != 0) {
        ::close(descriptor);
        return std::nullopt;
    }
    address.port = bound_port(descriptor);
    return descriptor;
}

} // namespace samphirespool::wire
