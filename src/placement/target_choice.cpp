// The registered strategies: shared parts near their like, least loaded, random.
#include "placement/target_choice.hpp"

#include "placement/part_memory.hpp"

#include <algorithm>
#include <limits>
#include <numeric>

namespace samphirespool::placement {

std::uint64_t prompt::tokens() const {
    return std::accumulate(
        this->parts.begin(), this->parts.end(), std::uint64_t{0},
        [](std::uint64_t sum, const prompt_part& part) { return sum + part.tokens; });
}

std::uint64_t prompt::shared_part() const {
    return this->parts.size() < 2 ? 0 : this->parts[this->parts.size() - 2].id;
}

std::uint64_t prompt::shared_tokens() const {
    return this->parts.empty() ? 0 : this->tokens() - this->parts.back().tokens;
}

namespace {

// All in tokens of a prompt, the unit in which targets are compared.
// What a request in progress costs the next one: a share of each step.
constexpr double tokens_per_request = 150;
// What crossing to another data centre costs in bytes, beside reading a prompt again.
constexpr double tokens_per_crossing = 2500;
// A request for which no slot is free waits for one.
constexpr double tokens_per_wait = 20'000;
// Equal targets are told apart at random within this.
constexpr double tie_tokens = 60;
// Above so many times the mean load, plus some, a target gets nothing more: below the double that
// operators allow, since estimates are late.
constexpr double bound_ratio = 1.5;
constexpr double bound_slack = 2;
// Engines drop the parts that were used least recently; what was sent lately is still there.
constexpr helpers::duration part_age = std::chrono::seconds(20);

double weight_of(std::uint64_t part, std::string_view target) {
    auto hash = part ^ helpers::hash_name(target);
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

// The data centre's own first choice for the part, or the first of all if it has no target.
std::size_t home_of(std::uint64_t part, std::span<const choice_target> among) {
    std::size_t best = 0;
    double best_weight = -1;
    for (std::size_t i = 0; i < among.size(); ++i) {
        const auto weight =
            weight_of(part, among[i].name) + (among[i].same_data_centre ? 1.0 : 0.0);
        if (weight <= best_weight)
            continue;
        best = i;
        best_weight = weight;
    }
    return best;
}

double load_cost(const choice_target& target) {
    const auto waiting = std::max(0.0, target.load + 1 - target.slots);
    return static_cast<double>(target.prompt_backlog) + target.load * tokens_per_request +
           waiting / target.slots * tokens_per_wait +
           (target.same_data_centre ? 0 : tokens_per_crossing);
}

class shared_part_choice final : public target_choice {
public:
    explicit shared_part_choice(kernel::random_source& random) : random(random) {}

    std::optional<std::size_t> choose(const prompt& wanted, std::span<const choice_target> among,
                                      helpers::time_point now) override {
        if (among.empty())
            return std::nullopt;
        const auto part = wanted.shared_part();
        const auto home = home_of(part, among);
        const auto bound = mean_load(among) * bound_ratio + bound_slack;
        std::optional<std::size_t> best;
        double best_cost = std::numeric_limits<double>::max();
        for (std::size_t i = 0; i < among.size(); ++i) {
            if (among[i].load > bound)
                continue;
            auto cost = load_cost(among[i]) + this->random.fraction() * tie_tokens;
            cost += this->unread_tokens(wanted, among[i], i == home, now);
            if (cost >= best_cost)
                continue;
            best = i;
            best_cost = cost;
        }
        return best;
    }

    void placed(const prompt& wanted, std::uint64_t target, helpers::time_point now) override {
        if (const auto part = wanted.shared_part(); part != 0)
            this->memory.note(part, target, now);
    }

private:
    double unread_tokens(const prompt& wanted, const choice_target& target, bool is_home,
                         helpers::time_point now) const {
        const auto part = wanted.shared_part();
        if (part == 0)
            return 0;
        const bool holds =
            (is_home && !target.is_new) || this->memory.holds(part, target.serial, part_age, now);
        // A home that does not hold the part yet should come to hold it.
        const auto missing = static_cast<double>(wanted.shared_tokens()) * (is_home ? 0.5 : 1.0);
        return holds ? 0 : missing;
    }

    kernel::random_source& random;
    part_memory memory;
};

class least_loaded_choice final : public target_choice {
public:
    explicit least_loaded_choice(kernel::random_source& random) : random(random) {}

    std::optional<std::size_t> choose(const prompt&, std::span<const choice_target> among,
                                      helpers::time_point) override {
        std::optional<std::size_t> best;
        double best_cost = std::numeric_limits<double>::max();
        for (std::size_t i = 0; i < among.size(); ++i) {
            const auto cost = among[i].load / among[i].slots +
                              (among[i].same_data_centre ? 0 : crossing_load) +
                              this->random.fraction() * tie_load;
            if (cost >= best_cost)
                continue;
            best = i;
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

    std::optional<std::size_t> choose(const prompt&, std::span<const choice_target> among,
                                      helpers::time_point) override {
        if (among.empty())
            return std::nullopt;
        return static_cast<std::size_t>(this->random.below(among.size()));
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
