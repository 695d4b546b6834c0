// Block hashes of prompts, and the least-recently-used cache of them.
#include "standins/engine/prefix_cache.hpp"

#include <xxhash.h>

namespace samphirespool::standins {

namespace {

constexpr std::size_t max_history = 10'000;

} // namespace

std::vector<std::uint64_t> block_hashes(std::string_view prompt) {
    constexpr auto block_bytes = bytes_per_token * tokens_per_block;
    std::vector<std::uint64_t> hashes;
    std::uint64_t chained = 0;
    for (std::size_t at = 0; at + block_bytes <= prompt.size(); at += block_bytes) {
        chained = XXH3_64bits_withSeed(prompt.data() + at, block_bytes, chained);
        hashes.push_back(chained);
    }
    return hashes;
}

std::size_t prefix_cache::use(const std::vector<std::uint64_t>& blocks, helpers::time_point now) {
    std::size_t hits = 0;
    while (hits < blocks.size() && this->places.contains(blocks[hits]))
        ++hits;
    for (const auto hash : blocks) {
        const auto found = this->places.find(hash);
        if (found != this->places.end()) {
            this->order.splice(this->order.begin(), this->order, found->second);
            continue;
        }
        this->order.push_front(hash);
        this->places[hash] = this->order.begin();
        this->record(true, hash, now);
    }
    while (this->order.size() > this->max_blocks) {
        this->record(false, this->order.back(), now);
        this->places.erase(this->order.back());
        this->order.pop_back();
    }
    return hits;
}

void prefix_cache::clear() {
    this->order.clear();
    this->places.clear();
}

void prefix_cache::record(bool added, std::uint64_t hash, helpers::time_point now) {
    this->history.push_back({++this->last_number, added, hash, now});
    if (this->history.size() > max_history)
        this->history.erase(this->history.begin(), this->history.begin() + max_history / 2);
}

} // namespace samphirespool::standins
