// Reads the limit of the process and divides it.
#include "http/descriptor_shares.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <limits>

namespace samphirespool::http {

namespace {

// Parts (1/n) of the limit.
constexpr std::size_t callers_divisor = 2;
constexpr std::size_t peers_divisor = 8;
constexpr std::size_t others_divisor = 32;
// The last quarter is for connections to targets, peers and the store.
constexpr std::size_t reserved_divisor = 4;

std::size_t part(std::size_t whole, std::size_t divisor) {
    return std::max<std::size_t>(1, whole / divisor);
}

} // namespace

std::size_t descriptor_limit(std::size_t setting) {
    constexpr auto unlimited = std::numeric_limits<int>::max();
    rlimit limit{};
    std::size_t result = unlimited;
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY)
        result = std::min<std::size_t>(result, limit.rlim_cur);
    return setting == 0 ? result : std::min(result, setting);
}

descriptor_shares shares_of(std::size_t descriptor_limit) {
    return {part(descriptor_limit, callers_divisor), part(descriptor_limit, peers_divisor),
            part(descriptor_limit, others_divisor),
            descriptor_limit - part(descriptor_limit, reserved_divisor)};
}

} // namespace samphirespool::http
