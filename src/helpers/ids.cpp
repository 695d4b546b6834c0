// Hashing of names and formatting of request ids.
#include "helpers/ids.hpp"

#include <array>
#include <cstdio>
#include <xxhash.h>

namespace samphirespool::helpers {

std::uint64_t hash_name(std::string_view name) {
    return XXH3_64bits(name.data(), name.size());
}

std::string to_string(const request_id& request) {
    std::array<char, 64> buffer;
    const auto length = std::snprintf(buffer.data(), buffer.size(), "%016llx-%llx-%llx",
                                      static_cast<unsigned long long>(request.router.value),
                                      static_cast<unsigned long long>(request.incarnation.value),
                                      static_cast<unsigned long long>(request.sequence));
    return {buffer.data(), static_cast<std::size_t>(length)};
}

} // namespace samphirespool::helpers
