// Parsing and formatting of TCP endpoints.
#include "helpers/endpoint.hpp"

#include <arpa/inet.h>
#include <charconv>

namespace samphirespool::helpers {

namespace {

bool is_ip_address(const std::string& ip) {
    unsigned char buffer[sizeof(in6_addr)];
    return inet_pton(AF_INET, ip.c_str(), buffer) == 1 ||
           inet_pton(AF_INET6, ip.c_str(), buffer) == 1;
}

} // namespace

std::optional<endpoint> parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto host = text.substr(0, colon);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    endpoint result{std::string(host), 0};
    const auto port = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), result.port);
    if (error != std::errc{} || end != port.data() + port.size())
        return std::nullopt;
    if (!is_ip_address(result.ip))
        return std::nullopt;
    return result;
}

std::string to_string(const endpoint& address) {
    const bool is_v6 = address.ip.find(':') != std::string::npos;
    const auto host = is_v6 ? "[" + address.ip + "]" : address.ip;
    return host + ":" + std::to_string(address.port);
}

} // namespace samphirespool::helpers
