// A simulated engine: a prefix cache of blocks with least-recently-used eviction, and a service
// time that depends on the cached tokens of the prompt.
#pragma once

#include "bench/placement/replay/workload.hpp"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace samphirespool::replay {

class prefix_cache {
public:
    static constexpr std::uint32_t block_tokens = 512;

    explicit prefix_cache(std::uint32_t tokens) : capacity(tokens / block_tokens) {}

    // Returns the length in tokens of the prompt's longest cached prefix.
    std::uint32_t cached_tokens(const arrival& request) const;

    // Adds the prompt and its response to the cache.
    void insert(const arrival& request);
    void clear();

private:
    static std::uint64_t block_id(std::uint64_t segment, std::uint32_t number);
    std::uint32_t count_cached_blocks(std::uint64_t segment, std::uint32_t blocks) const;
    void touch(std::uint64_t id);

    std::size_t capacity;
    // Most recently used first. Blocks are touched from the last to the first, so that eviction
    // never leaves a block without its prefix.
    std::list<std::uint64_t> order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks;
};

struct engine {
    prefix_cache cache;
    std::uint64_t incarnation = 1;
    bool running = true;
    // Requests that it still serves at the slow speed of a cold engine.
    std::uint32_t cold_requests = 0;
    std::uint32_t in_flight = 0;
    std::uint64_t tokens = 0;
};

// Seconds from sending to the first byte and to the end of the response.
struct service_time {
    double first_byte = 0;
    double whole = 0;
};

service_time estimate_service_time(const arrival& request, std::uint32_t cached, bool cold);

} // namespace samphirespool::replay
