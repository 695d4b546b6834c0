// Remembers which targets this process sent a prompt part to lately, bounded in size.
#pragma once

#include "helpers/time.hpp"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace samphirespool::placement {

class part_memory {
public:
    void note(std::uint64_t part, std::uint64_t target, helpers::time_point now);
    // Whether the part was sent to the target within `age`.
    bool holds(std::uint64_t part, std::uint64_t target, helpers::duration age,
               helpers::time_point now) const;

    // About 100 bytes each.
    static constexpr std::size_t max_entries = 8192;

private:
    struct entry {
        std::uint64_t key;
        helpers::time_point at;
    };

    static std::uint64_t key_of(std::uint64_t part, std::uint64_t target);

    // Newest first.
    std::list<entry> order;
    // Invariant: names exactly the entries of order.
    std::unordered_map<std::uint64_t, std::list<entry>::iterator> entries;
};

} // namespace samphirespool::placement
