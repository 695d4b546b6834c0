// The default placement: weighted rendezvous hashing of the chat key. Each key has a fixed
// preference list; admission takes the first candidate below the load bound, so that the overflow
// of a busy prefix always goes to the same next targets and finds its prefix cached there too.
//
// Locality: targets of the router's own region come before all others, because another region is
// tens of milliseconds away. Within a region the data centre is ignored for a chat: a chat that
// returns through another data centre must reach the engine that has its prefix cached, and a round
// trip within a region is far shorter than computing the prefix again. Requests without a chat
// prefer their own data centre, then the less loaded target.
#pragma once

#include "placement/placement_strategy.hpp"

#include <map>

namespace samphirespool::placement {

class bounded_rendezvous final : public placement_strategy {
public:
    void rebuild(std::span<const target_view> targets) override;
    void rank(const placement_request& request, std::span<const target_view> targets,
              kernel::random_source& random, std::vector<std::size_t>& candidates) override;

private:
    // The eligible targets of one region. Invariant: the vectors have the same length.
    struct region_targets {
        std::vector<std::uint64_t> seeds;
        // 1 / weight relative to the heaviest target; at least 1.
        std::vector<double> exponents;
        std::vector<std::uint32_t> indices;
    };

    struct scored {
        std::uint64_t score = 0;
        std::uint32_t index = 0;
    };

    // Stores the `wanted` targets of the region with the highest scores in `best`.
    void best_of(const region_targets& region, std::uint64_t key, std::size_t wanted);

    std::map<helpers::region_id, region_targets> regions;
    // Best first; a member only to avoid an allocation per call.
    std::vector<scored> best;
};

} // namespace samphirespool::placement
