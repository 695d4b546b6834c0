// Start tags of start-time fair queueing: virtual start times that order waiting requests of equal
// priority, so that a surge of one organisation delays only that organisation. For queues that may
// dispatch a later request before the first one, which fair_queue does not support.
#pragma once

#include "helpers/ids.hpp"

#include <cstdint>
#include <map>
#include <utility>

namespace samphirespool::admission {

class fair_start_tags {
public:
    // Returns the virtual start of a request that is being enqueued. A cost (in tokens) of 0 counts
    // as 1.
    std::uint64_t assign(std::uint32_t priority, helpers::organisation_id organisation,
                         std::uint64_t cost);
    // Advances virtual time to the start of a request that was dispatched.
    void on_dispatched(std::uint32_t priority, std::uint64_t start);

private:
    struct priority_level {
        // Invariant: never decreases.
        std::uint64_t virtual_time = 0;
        // End of each organisation's last request. Entries up to virtual_time are dropped.
        std::map<helpers::organisation_id, std::uint64_t> last_end;
    };

    std::map<std::uint32_t, priority_level> levels;
};

} // namespace samphirespool::admission
