// The registered strategies: prefix affinity with bounded load, least loaded, random.
#include "placement/target_choice.hpp"

#include "placement/prefix_rates.hpp"

#include <limits>
#include <numeric>

namespace samphirespool::placement {

std::uint64_t prompt::tokens() const {
    return std::accumulate(
        this->segments.begin(), this->segments.end(), std::uint64_t{0},
        [](std::uint64_t sum, const prompt_segment& segment) { return sum + segment.tokens; });
}

std::uint64_t prompt::shared_prefix() const {
    return this->segments.size() < 2 ? 0 : this->segments[this->segments.size() - 2].id;
}

std::uint64_t prompt::shared_prefix_tokens() const {
    return this->segments.empty() ? 0 : this->tokens() - this->segments.back().tokens;
}

namespace {

// A target whose load exceeds bound_ratio x mean load + bound_slack gets no more requests by
// prefix. The ratio is below the factor of two that operators allow, since load estimates lag.
constexpr double bound_ratio = 1.5;
constexpr double bound_slack = 2;

// Rendezvous hash of a prefix and a target, in [0, 1).
double rendezvous_weight(std::uint64_t prefix, std::uint64_t target) {
    auto hash = prefix ^ target;
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    hash *= 0xc4ceb9fe1a85ec53ULL;
    hash ^= hash >> 33;
    return static_cast<double>(hash >> 11) * 0x1.0p-53;
}

// Prompts whose shared prefix has at least this many tokens stay with their prefix holder while it
// is slow: processing the prefix anew takes longer than the slow moment lasts.
constexpr std::uint64_t long_prefix_tokens = 2000;
// A target at which work takes this many times the usual time gets a short prompt only if no other
// one admits it.
constexpr double slow_ratio = 1.5;

// The load that a new request meets, counted in requests at the usual speed. Equal to the load
// while the target works at its usual speed.
double effective_load(const choice_target& target) {
    return target.load + (target.slowness - 1) * (target.load + 1);
}

double mean_load(std::span<const choice_target> targets) {
    double sum = 0;
    for (const auto& target : targets)
        sum += target.load;
    return targets.empty() ? 0 : sum / static_cast<double>(targets.size());
}

std::optional<std::size_t> least_loaded_index(std::span<const choice_target> targets) {
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < targets.size(); ++i)
        if (targets[i].is_selectable &&
            (!best || effective_load(targets[i]) < effective_load(targets[*best])))
            best = i;
    return best;
}

// Prefix affinity: all gateways send requests with the same shared prefix to the same preferred
// target, and those above its load bound to the same next target, so that few targets have to
// process the prefix. The order of targets for a prefix is by rendezvous hashing.
class prefix_affinity_choice final : public target_choice {
public:
    explicit prefix_affinity_choice(kernel::random_source& random) : random(random) {}

    std::optional<choice> choose(const prompt& request_prompt,
                                 std::span<const choice_target> targets,
                                 const choice_context& context) override {
        const auto prefix = request_prompt.shared_prefix() != 0 ? request_prompt.shared_prefix()
                                                                : this->random.next();
        const auto bound = mean_load(targets) * bound_ratio + bound_slack;
        const auto expected = this->rates.rate(prefix, context.now) * context.peer_seconds;
        const bool avoids_slow = request_prompt.shared_prefix_tokens() < long_prefix_tokens;
        std::optional<std::size_t> best;
        std::optional<std::size_t> preferred;
        for (std::size_t i = 0; i < targets.size(); ++i) {
            const auto& target = targets[i];
            const auto weight = rendezvous_weight(prefix, target.name_hash);
            if (target.can_hold_prefix &&
                (!preferred || weight > rendezvous_weight(prefix, targets[*preferred].name_hash)))
                preferred = i;
            if (avoids_slow && target.slowness >= slow_ratio)
                continue;
            if (!target.is_selectable || !this->admit(bound - target.load, expected))
                continue;
            if (!best || weight > rendezvous_weight(prefix, targets[*best].name_hash))
                best = i;
        }
        // No request waits while a target has a free slot.
        if (!best)
            best = least_loaded_index(targets);
        if (!best)
            return std::nullopt;
        this->rates.record(prefix, context.now);
        choice result{*best, std::nullopt};
        if (request_prompt.shared_prefix() != 0 && preferred && *preferred != *best)
            result.prefix_holder = targets[*preferred].serial;
        return result;
    }

private:
    // Assumes that the peers send requests with this prefix at the same rate as this gateway and
    // see the same load. Admits a request with the probability that makes the expected number of
    // these requests fit into the target's free load.
    bool admit(double free_load, double expected) const {
        return free_load > 0 &&
               (free_load >= expected || this->random.fraction() * expected < free_load);
    }

    prefix_rates rates;
    kernel::random_source& random;
};

class least_loaded_choice final : public target_choice {
public:
    explicit least_loaded_choice(kernel::random_source& random) : random(random) {}

    std::optional<choice> choose(const prompt&, std::span<const choice_target> targets,
                                 const choice_context&) override {
        std::optional<choice> best;
        double best_cost = std::numeric_limits<double>::max();
        for (std::size_t i = 0; i < targets.size(); ++i) {
            if (!targets[i].is_selectable)
                continue;
            const auto cost = effective_load(targets[i]) / targets[i].slots +
                              (targets[i].same_data_centre ? 0 : remote_penalty) +
                              this->random.fraction() * tie_break_range;
            if (cost >= best_cost)
                continue;
            best = choice{i, std::nullopt};
            best_cost = cost;
        }
        return best;
    }

private:
    // Fraction of the slots by which a target of another data centre must be less loaded to be
    // chosen.
    static constexpr double remote_penalty = 0.35;
    // Range of the random amount, as a fraction of the slots, that breaks ties.
    static constexpr double tie_break_range = 0.02;

    kernel::random_source& random;
};

class random_choice final : public target_choice {
public:
    explicit random_choice(kernel::random_source& random) : random(random) {}

    std::optional<choice> choose(const prompt&, std::span<const choice_target> targets,
                                 const choice_context&) override {
        std::vector<std::size_t> selectable;
        for (std::size_t i = 0; i < targets.size(); ++i)
            if (targets[i].is_selectable)
                selectable.push_back(i);
        if (selectable.empty())
            return std::nullopt;
        return choice{selectable[this->random.below(selectable.size())], std::nullopt};
    }

private:
    kernel::random_source& random;
};

template <class Strategy>
target_choices::factory make() {
    return [](kernel::random_source& random) { return std::make_unique<Strategy>(random); };
}

const kernel::registration<target_choices>
    prefix_affinity_registration("shared_part", make<prefix_affinity_choice>());
const kernel::registration<target_choices> least_loaded_registration("least_loaded",
                                                                     make<least_loaded_choice>());
const kernel::registration<target_choices> random_registration("random", make<random_choice>());

} // namespace

} // namespace samphirespool::placement
