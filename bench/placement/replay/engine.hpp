// A fake target: a prefix cache of blocks with least-recently-used eviction, and a service time
// that follows from what the cache saves.
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

    // Tokens of the prompt that are cached, from its beginning without a gap.
    std::uint32_t cached(const arrival& request) const;

    // Takes the prompt and its answer into the cache.
    void use(const arrival& request);
    void clear();

private:
    static std::uint64_t block(std::uint64_t part, std::uint32_t number);
    std::uint32_t held(std::uint64_t part, std::uint32_t blocks) const;
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
    // Serves slowly until it has served this many requests.
    std::uint32_t cold_requests = 0;
    std::uint32_t in_flight = 0;
    std::uint64_t tokens = 0;
};

// Seconds to the first byte and to the end of the answer.
struct service_time {
    double first_byte = 0;
    double whole = 0;
};

service_time time_of(const arrival& request, std::uint32_t cached, bool cold);

} // namespace samphirespool::replay
