// A reference strategy that no router could run: it reads every engine's cache at the moment of the
// decision and ranks by cached tokens of the prompt, then by load. The cache reuse of the
// production strategy is compared with what this one reaches under the same bound on load.
#pragma once

#include "bench/placement/replay/simulated_fleet.hpp"

namespace samphirespool::replay {

class oracle_strategy final : public placement::placement_strategy {
public:
    explicit oracle_strategy(const simulated_fleet& fleet) : fleet(fleet) {}

    void rebuild(std::span<const placement::target_view>) override {}
    void rank(const placement::placement_request& request,
              std::span<const placement::target_view> targets, kernel::random_source& random,
              std::vector<std::size_t>& candidates) override;

private:
    const simulated_fleet& fleet;
};

} // namespace samphirespool::replay
