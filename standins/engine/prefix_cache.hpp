// Prompt prefix cache of limited memory: hashes of prompt blocks, least recently used out first.
#pragma once

#include "helpers/time.hpp"

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace samphirespool::standins {

// Each block's hash covers the whole prompt up to its end.
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

    // Number of leading blocks that are cached; stores the others.
    std::size_t use(const std::vector<std::uint64_t>& blocks, helpers::time_point now);
    void clear();
    const std::vector<event>& events() const { return this->history; }

private:
    void record(bool added, std::uint64_t hash, helpers::time_point now);

    std::size_t max_blocks;
    // Most recently used first.
    std::list<std::uint64_t> order;
    // Invariant: exactly the members of `order`.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places;
    std::vector<event> history;
    std::uint64_t last_number = 0;
};

constexpr std::size_t bytes_per_token = 4;
constexpr std::size_t tokens_per_block = 16;

} // namespace samphirespool::standins
