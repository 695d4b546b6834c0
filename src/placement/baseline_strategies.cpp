// Standard strategies for comparison: round robin, least loaded, power of two random choices, and
// consistent hashing on a ring. They consider eligibility but neither weights nor regions.
#include "placement/placement_strategy.hpp"

#include <algorithm>
#include <memory>
#include <random>

namespace samphirespool::placement {

namespace {

class eligible_strategy : public placement_strategy {
public:
    void rebuild(std::span<const target_view> targets) override {
        this->eligible.clear();
        for (std::size_t i = 0; i < targets.size(); ++i)
            if (targets[i].eligible)
                this->eligible.push_back(i);
    }

protected:
    // Appends up to `wanted` eligible targets, cyclically from position `start`.
    void append_from(std::size_t start, std::size_t wanted, std::vector<std::size_t>& candidates) {
        const auto count = std::min(wanted, this->eligible.size());
        for (std::size_t i = 0; i < count; ++i)
            candidates.push_back(this->eligible[(start + i) % this->eligible.size()]);
    }

    // Indices of the eligible targets, ascending.
    std::vector<std::size_t> eligible;
};

class round_robin final : public eligible_strategy {
public:
    void rank(const placement_request& request, std::span<const target_view>,
              kernel::random_source&, std::vector<std::size_t>& candidates) override {
        this->append_from(this->next++, request.max_candidates, candidates);
    }

private:
    std::size_t next = 0;
};

class least_loaded final : public eligible_strategy {
public:
    void rank(const placement_request& request, std::span<const target_view> targets,
              kernel::random_source& random, std::vector<std::size_t>& candidates) override {
        if (this->eligible.empty())
            return;
        // A random start breaks ties, so that routers with the same view do not all choose one
        // target.
        const auto first = candidates.size();
        this->append_from(random.below(this->eligible.size()), this->eligible.size(), candidates);
        const auto count = std::min(request.max_candidates, this->eligible.size());
        const auto begin = candidates.begin() + static_cast<std::ptrdiff_t>(first);
        std::stable_sort(begin, candidates.end(), [&](std::size_t left, std::size_t right) {
            return targets[left].load < targets[right].load;
        });
        candidates.resize(first + count);
    }
};

class random_of_two final : public eligible_strategy {
public:
    void rank(const placement_request& request, std::span<const target_view> targets,
              kernel::random_source& random, std::vector<std::size_t>& candidates) override {
        const auto count = std::min(request.max_candidates, this->eligible.size());
        const auto first = candidates.size();
        while (candidates.size() < first + count) {
            const auto begin = candidates.begin() + static_cast<std::ptrdiff_t>(first);
            const auto one = this->eligible[random.below(this->eligible.size())];
            const auto two = this->eligible[random.below(this->eligible.size())];
            const auto chosen = targets[one].load <= targets[two].load ? one : two;
            const auto other = chosen == one ? two : one;
            if (std::find(begin, candidates.end(), chosen) == candidates.end())
                candidates.push_back(chosen);
            else if (std::find(begin, candidates.end(), other) == candidates.end())
                candidates.push_back(other);
        }
    }
};

class consistent_hash final : public placement_strategy {
public:
    void rebuild(std::span<const target_view> targets) override {
        this->ring.clear();
        this->eligible_count = 0;
        for (std::size_t i = 0; i < targets.size(); ++i) {
            if (!targets[i].eligible)
                continue;
            ++this->eligible_count;
            std::mt19937_64 points(targets[i].id.value);
            for (int n = 0; n < points_per_target; ++n)
                this->ring.push_back({points(), i});
        }
        std::ranges::sort(this->ring, {}, &point::position);
    }

    void rank(const placement_request& request, std::span<const target_view>,
              kernel::random_source&, std::vector<std::size_t>& candidates) override {
        const auto count = std::min(request.max_candidates, this->eligible_count);
        const auto first = candidates.size();
        const auto position = request.key.value * 0x9e3779b97f4a7c15ULL;
        auto at = std::ranges::lower_bound(this->ring, position, {}, &point::position);
        while (candidates.size() < first + count) {
            if (at == this->ring.end())
                at = this->ring.begin();
            const auto begin = candidates.begin() + static_cast<std::ptrdiff_t>(first);
            if (std::find(begin, candidates.end(), at->index) == candidates.end())
                candidates.push_back(at->index);
            ++at;
        }
    }

private:
    static constexpr int points_per_target = 128;

    struct point {
        std::uint64_t position = 0;
        std::size_t index = 0;
    };

    // Invariant: ordered by position.
    std::vector<point> ring;
    std::size_t eligible_count = 0;
};

template <class Strategy>
strategy_registry::factory make() {
    return [] { return std::make_unique<Strategy>(); };
}

const kernel::registration<strategy_registry> round_robin_registration("round-robin",
                                                                       make<round_robin>());
const kernel::registration<strategy_registry> least_loaded_registration("least-loaded",
                                                                        make<least_loaded>());
const kernel::registration<strategy_registry> random_of_two_registration("random-of-two",
                                                                         make<random_of_two>());
const kernel::registration<strategy_registry> consistent_hash_registration("consistent-hash",
                                                                           make<consistent_hash>());

} // namespace

} // namespace samphirespool::placement
