// How the descriptors that a process may open are divided between its ports and the connections
// that it opens itself, so that callers never take those of the store, the peers and the targets.
#pragma once

#include <cstddef>

namespace samphirespool::http {

struct descriptor_shares {
    // Most connections of callers, of processes of the fleet, and of each other port.
    std::size_t callers;
    std::size_t peers;
    std::size_t others;
    // No connection is accepted whose descriptor has this number or a larger one.
    std::size_t reserved_from;
};

// What this process may open, at most `setting` if that is not 0.
std::size_t descriptor_limit(std::size_t setting);

descriptor_shares shares_of(std::size_t descriptor_limit);

} // namespace samphirespool::http
