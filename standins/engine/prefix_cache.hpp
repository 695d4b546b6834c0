// Prompt prefix cache of limited size: hashes of prompt blocks with least-recently-used eviction.
#pragma once

#include "helpers/time.hpp"

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace samphirespool::standins {

// Returns the hashes of the prompt's full blocks; each one covers the prompt up to the block's end.
std::vector<std::uint64_t> block_hashes(std::string_view prompt);

class prefix_cache {
public:
    struct event {
        std::uint64_t number = 0;
        bool added = false;
        std::uint64_t hash = 0;
        helpers::time_point at{};
    };

    explicit prefix_cache(std::size_t max_blocks) : max_blocks(max_blocks) {}

    // Returns the number of leading blocks that were cached, and adds the others.
    std::size_t use(const std::vector<std::uint64_t>& blocks, helpers::time_point now);
    void clear();
    const std::vector<event>& events() const { return this->history; }

private:
    void record(bool added, std::uint64_t hash, helpers::time_point now);

    std::size_t max_blocks;
    // Most recently used first.
    std::list<std::uint64_t> order;
    // Invariant: has exactly the hashes in `order`.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places;
    std::vector<event> history;
    std::uint64_t last_number = 0;
};

constexpr std::size_t bytes_per_token = 4;
constexpr std::size_t tokens_per_block = 16;

} // namespace samphirespool::standins
