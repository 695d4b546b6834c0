// The registered strategies: shared parts near their like, least loaded, random.
#include "placement/target_choice.hpp"

#include "placement/part_rates.hpp"

#include <limits>
#include <numeric>

namespace samphirespool::placement {

std::uint64_t prompt::tokens() const {
    return std::accumulate(
        this->segments.begin(), this->segments.end(), std::uint64_t{0},
        [](std::uint64_t sum, const prompt_segment& part) { return sum + part.tokens; });
}

std::uint64_t prompt::shared_prefix() const {
    return this->segments.size() < 2 ? 0 : this->segments[this->segments.size() - 2].id;
}

std::uint64_t prompt::shared_prefix_tokens() const {
    return this->segments.empty() ? 0 : this->tokens() - this->segments.back().tokens;
}

namespace {

// Above so many times the mean load, plus some, a target gets nothing more: below the double that
// operators allow, since estimates are late.
constexpr double bound_ratio = 1.5;
constexpr double bound_slack = 2;

double weight_of(std::uint64_t part, std::uint64_t target) {
    auto hash = part ^ target;
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    hash *= 0xc4ceb9fe1a85ec53ULL;
    hash ^= hash >> 33;
    return static_cast<double>(hash >> 11) * 0x1.0p-53;
}

double mean_load(std::span<const choice_target> among) {
    double sum = 0;
    for (const auto& each : among)
        sum += each.load;
    return among.empty() ? 0 : sum / static_cast<double>(among.size());
}

std::optional<std::size_t> least_loaded_of(std::span<const choice_target> among) {
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < among.size(); ++i)
        if (among[i].is_selectable && (!best || among[i].load < among[*best].load))
            best = i;
    return best;
}

// Every gateway sends a shared part to the same target, and what is too much for that one to the
// same next one, so that few targets read the part. The order is the targets' own for each part.
class shared_part_choice final : public target_choice {
public:
    explicit shared_part_choice(kernel::random_source& random) : random(random) {}

    std::optional<choice> choose(const prompt& wanted, std::span<const choice_target> among,
                                 const choice_context& pace) override {
        const auto part =
            wanted.shared_prefix() != 0 ? wanted.shared_prefix() : this->random.next();
        const auto bound = mean_load(among) * bound_ratio + bound_slack;
        const auto expected = this->rates.rate(part, pace.now) * pace.peer_seconds;
        std::optional<std::size_t> best;
        std::optional<std::size_t> home;
        for (std::size_t i = 0; i < among.size(); ++i) {
            const auto& each = among[i];
            const auto weight = weight_of(part, each.name_hash);
            if (each.can_hold_prefix && (!home || weight > weight_of(part, among[*home].name_hash)))
                home = i;
            if (!each.is_selectable || !this->has_room(bound - each.load, expected))
                continue;
            if (!best || weight > weight_of(part, among[*best].name_hash))
                best = i;
        }
        // Nothing waits while a slot is free.
        if (!best)
            best = least_loaded_of(among);
        if (!best)
            return std::nullopt;
        this->rates.note(part, pace.now);
        choice made{*best, std::nullopt};
        if (wanted.shared_prefix() != 0 && home && *home != *best)
            made.prefix_holder = among[*home].serial;
        return made;
    }

private:
    // The others send as much for the part as this process does, and see the same load. Only as
    // many of these requests go to a target as have room there.
    bool has_room(double room, double expected) const {
        return room > 0 && (room >= expected || this->random.fraction() * expected < room);
    }

    part_rates rates;
    kernel::random_source& random;
};

class least_loaded_choice final : public target_choice {
public:
    explicit least_loaded_choice(kernel::random_source& random) : random(random) {}

    std::optional<choice> choose(const prompt&, std::span<const choice_target> among,
                                 const choice_context&) override {
        std::optional<choice> best;
        double best_cost = std::numeric_limits<double>::max();
        for (std::size_t i = 0; i < among.size(); ++i) {
            if (!among[i].is_selectable)
                continue;
            const auto cost = among[i].load / among[i].slots +
                              (among[i].same_data_centre ? 0 : crossing_load) +
                              this->random.fraction() * tie_load;
            if (cost >= best_cost)
                continue;
            best = choice{i, std::nullopt};
            best_cost = cost;
        }
        return best;
    }

private:
    // Parts of the slots that a target may be fuller than one elsewhere before work crosses.
    static constexpr double crossing_load = 0.35;
    static constexpr double tie_load = 0.02;

    kernel::random_source& random;
};

class random_choice final : public target_choice {
public:
    explicit random_choice(kernel::random_source& random) : random(random) {}

    std::optional<choice> choose(const prompt&, std::span<const choice_target> among,
                                 const choice_context&) override {
        std::vector<std::size_t> free;
        for (std::size_t i = 0; i < among.size(); ++i)
            if (among[i].is_selectable)
                free.push_back(i);
        if (free.empty())
            return std::nullopt;
        return choice{free[this->random.below(free.size())], std::nullopt};
    }

private:
    kernel::random_source& random;
};

template <class Strategy>
target_choices::factory make() {
    return [](kernel::random_source& random) { return std::make_unique<Strategy>(random); };
}

const kernel::registration<target_choices> shared_part("shared_part", make<shared_part_choice>());
const kernel::registration<target_choices> least_loaded("least_loaded",
                                                        make<least_loaded_choice>());
const kernel::registration<target_choices> random_target("random", make<random_choice>());

} // namespace

} // namespace samphirespool::placement
