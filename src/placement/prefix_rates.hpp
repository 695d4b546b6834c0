// Rates at which this gateway sends requests with each shared prompt prefix, over the last seconds.
#pragma once

#include "helpers/time.hpp"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace samphirespool::placement {

class prefix_rates {
public:
    // Returns the requests per second with the prefix.
    double rate(std::uint64_t prefix, helpers::time_point now) const;
    // Records a request with the prefix.
    void record(std::uint64_t prefix, helpers::time_point now);

    // Beyond this number the least recently used prefix is dropped. About 100 bytes each.
    static constexpr std::size_t max_prefixes = 4096;

private:
    struct entry {
        std::uint64_t prefix;
        // Number of requests, decayed exponentially up to updated_at.
        double count;
        helpers::time_point updated_at;
    };

    static double decayed_count(const entry& stored, helpers::time_point now);

    // Most recently used first.
    std::list<entry> recency;
    // Invariant: contains exactly the entries of `recency`.
    std::unordered_map<std::uint64_t, std::list<entry>::iterator> entries;
};

} // namespace samphirespool::placement
