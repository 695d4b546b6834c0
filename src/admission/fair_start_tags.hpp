// Virtual start times by which waiting requests of equal priority take turns, so that a surge of
// one organisation waits behind itself (start-time fair queueing). For queues whose first request
// may have to wait while a later one runs, unlike fair_queue.
#pragma once

#include "helpers/ids.hpp"

#include <cstdint>
#include <map>
#include <utility>

namespace samphirespool::admission {

class fair_start_tags {
public:
    // The start of a request that begins to wait. Cost in tokens, at least 1.
    std::uint64_t assign(std::uint32_t priority, helpers::organisation_id organisation,
                         std::uint64_t cost);
    // The request with this start has got its turn.
    void on_dispatched(std::uint32_t priority, std::uint64_t start);

private:
    struct level {
        // Invariant: never decreases.
        std::uint64_t now = 0;
        // Until where each organisation's waiting requests reach. Those behind `now` are forgotten.
        std::map<helpers::organisation_id, std::uint64_t> reached;
    };

    std::map<std::uint32_t, level> levels;
};

} // namespace samphirespool::admission
