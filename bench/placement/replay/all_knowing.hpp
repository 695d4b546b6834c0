// A policy that no router could run: it sees every engine's cache at the moment of the decision and
// ranks by cached tokens of the prompt, then by load. What it reuses under the same bound is the
// measure for the real strategies.
#pragma once

#include "bench/placement/replay/world.hpp"

namespace samphirespool::replay {

class all_knowing final : public placement::placement_strategy {
public:
    explicit all_knowing(const world& real) : real(real) {}

    void rebuild(std::span<const placement::target_view>) override {}
    void rank(const placement::placement_request& request,
              std::span<const placement::target_view> targets, kernel::random_source& random,
              std::vector<std::size_t>& candidates) override;

private:
    const world& real;
};

} // namespace samphirespool::replay
