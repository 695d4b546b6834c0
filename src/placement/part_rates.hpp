// How often this process sends each shared part of prompts, over the last seconds.
#pragma once

#include "helpers/time.hpp"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace samphirespool::placement {

class part_rates {
public:
    // Requests a second.
    double rate(std::uint64_t part, helpers::time_point now) const;
    void note(std::uint64_t part, helpers::time_point now);

    // The parts that were not asked for longest are forgotten. About 100 bytes each.
    static constexpr std::size_t max_parts = 4096;

private:
    struct entry {
        std::uint64_t part;
        // Requests, each of which fades with time.
        double count;
        helpers::time_point at;
    };

    static double faded(const entry& from, helpers::time_point now);

    // Newest first.
    std::list<entry> order;
    // Invariant: names exactly the entries of order.
    std::unordered_map<std::uint64_t, std::list<entry>::iterator> entries;
};

} // namespace samphirespool::placement
