// Rendezvous scores. The score of a target with relative weight w is u^(1/w) for a uniform hash u.
// Since w is at most 1, u is an upper bound of the score, and the power is computed only for the
// few targets whose hash exceeds the worst score kept so far.
#include "placement/bounded_rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <memory>

namespace samphirespool::placement {

namespace {

const kernel::registration<strategy_registry>
    bounded_rendezvous_registration("bounded-rendezvous",
                                    [] { return std::make_unique<bounded_rendezvous>(); });

constexpr double score_range = 0x1.0p64;

std::uint64_t mix(std::uint64_t value) {
    value *= 0x9e3779b97f4a7c15ULL;
    value ^= value >> 32;
    return value * 0xd6e8feb86659fd93ULL;
}

// Hash of a target for a key. Seed and key are mixed already, so one multiplication is enough:
// first and second choices over many keys are as even as with a full mix, in two thirds of the
// time.
std::uint64_t combine(std::uint64_t seed, std::uint64_t key) {
    return (seed ^ key) * 0x9e3779b97f4a7c15ULL;
}

std::uint64_t seed_of(helpers::target_id target) {
    const auto first = mix(target.value);
    return mix(first ^ (first >> 29));
}

// Score of a hash for exponent 1/w.
std::uint64_t weighted(std::uint64_t hash, double exponent) {
    if (exponent == 1)
        return hash;
    const auto uniform = static_cast<double>(hash) / score_range;
    return static_cast<std::uint64_t>(std::pow(std::min(uniform, 1 - 0x1.0p-53), exponent) *
                                      score_range);
}

} // namespace

void bounded_rendezvous::rebuild(std::span<const target_view> targets) {
    this->regions.clear();
    double heaviest = 0;
    for (const auto& target : targets)
        if (target.eligible)
            heaviest = std::max(heaviest, target.weight);
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const auto& target = targets[i];
        if (!target.eligible || target.weight <= 0)
            continue;
        auto& region = this->regions[target.region];
        region.seeds.push_back(seed_of(target.id));
        region.exponents.push_back(heaviest / target.weight);
        region.indices.push_back(static_cast<std::uint32_t>(i));
    }
}

void bounded_rendezvous::best_of(const region_targets& region, std::uint64_t key,
                                 std::size_t wanted) {
    this->best.clear();
    std::uint64_t worst = 0;
    const std::span<const std::uint64_t> seeds = region.seeds;
    for (std::size_t i = 0; i < seeds.size(); ++i) {
        const auto hash = combine(seeds[i], key);
        if (hash < worst)
            continue;
        const auto score = weighted(hash, region.exponents[i]);
        const bool full = this->best.size() == wanted;
        if (full && score <= worst)
            continue;
        if (full)
            this->best.pop_back();
        const auto position = std::ranges::find_if(
            this->best, [&](const scored& other) { return other.score < score; });
        this->best.insert(position, {score, region.indices[i]});
        if (this->best.size() == wanted)
            worst = this->best.back().score;
    }
}

void bounded_rendezvous::rank(const placement_request& request,
                              std::span<const target_view> targets, kernel::random_source& random,
                              std::vector<std::size_t>& candidates) {
    if (request.max_candidates == 0)
        return;
    const bool is_chat = request.key.value != 0;
    const auto key = mix(mix(is_chat ? request.key.value : random.next()));
    const auto first = candidates.size();
    const auto append = [&](const region_targets& region) {
        const auto room = request.max_candidates - (candidates.size() - first);
        if (room == 0)
            return;
        this->best_of(region, key, room);
        for (const auto& candidate : this->best)
            candidates.push_back(candidate.index);
    };
    const auto own = this->regions.find(request.region);
    if (own != this->regions.end())
        append(own->second);
    const auto own_end = candidates.size();
    for (const auto& [region, members] : this->regions)
        if (region != request.region)
            append(members);
    if (is_chat)
        return;
    const auto begin = candidates.begin() + static_cast<std::ptrdiff_t>(first);
    std::stable_sort(begin, candidates.begin() + static_cast<std::ptrdiff_t>(own_end),
                     [&](std::size_t left, std::size_t right) {
                         const bool left_far = targets[left].data_centre != request.data_centre;
                         const bool right_far = targets[right].data_centre != request.data_centre;
                         if (left_far != right_far)
                             return right_far;
                         return targets[left].load < targets[right].load;
                     });
}

} // namespace samphirespool::placement
