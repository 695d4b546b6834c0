// How long the recent streams of each route have taken for one token of output: an upper estimate
// of how long another one will take.
#pragma once

#include "helpers/time.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace samphirespool::admission {

class stream_pace {
public:
    // A whole stream with so many tokens at most has taken that long.
    void record(std::uint64_t route, std::uint32_t tokens, helpers::duration taken,
                helpers::time_point now);
    // How long a stream with so many tokens takes at the slowest recent pace. Nothing if no stream
    // of the route has ended lately, or the number of tokens is not known, which is 0.
    std::optional<helpers::duration> estimate(std::uint64_t route, std::uint32_t tokens,
                                              helpers::time_point now) const;

private:
    // A pace counts for one to two of these.
    static constexpr helpers::duration interval = std::chrono::seconds(30);

    struct slowest {
        helpers::time_point since{};
        helpers::duration current{};
        helpers::duration previous{};
    };

    // By route, for each token.
    std::unordered_map<std::uint64_t, slowest> paces;
};

} // namespace samphirespool::admission
