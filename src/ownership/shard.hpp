// Shards: the targets of one service in one region are split into a fixed number of shards. Each
// shard has one owner among the region's routers, chosen by rendezvous hashing.
#pragma once

#include "helpers/ids.hpp"

#include <cstdint>

namespace samphirespool::ownership {

using shard_id = helpers::strong_id<struct shard_tag>;

// The 64-bit finalizer of MurmurHash3.
constexpr std::uint64_t mix(std::uint64_t value) {
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33);
}

// Identifies shard `index` of `count`. The count is part of the hash, so splitting the service into
// another number of shards yields entirely different ids.
constexpr shard_id make_shard(helpers::service_id service, helpers::region_id region,
                              std::uint32_t index, std::uint32_t count) {
    return shard_id{mix(mix(service.value) ^ region.value ^
                        ((static_cast<std::uint64_t>(count) << 32) | index))};
}

constexpr std::uint32_t shard_index(helpers::target_id target, std::uint32_t count) {
    return count <= 1 ? 0 : static_cast<std::uint32_t>(mix(target.value) % count);
}

// Rendezvous score: the live router with the highest one owns the shard.
constexpr std::uint64_t owner_score(shard_id shard, helpers::router_id router) {
    return mix(shard.value ^ mix(router.value));
}

} // namespace samphirespool::ownership
