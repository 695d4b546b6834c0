// Hash of names.
#include "helpers/ids.hpp"

#include <xxhash.h>

namespace samphirespool::helpers {

std::uint64_t hash_name(std::string_view name) {
    return XXH3_64bits(name.data(), name.size());
}

} // namespace samphirespool::helpers
