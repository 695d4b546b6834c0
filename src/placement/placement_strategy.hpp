// Interface of the placement strategies: rank the targets of a service for a request's key.
#pragma once

#include "kernel/random.hpp"
#include "kernel/registry.hpp"
#include "placement/target_view.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace samphirespool::placement {

struct placement_request {
    helpers::chat_key key;
    // Data centre and region of the router that accepted the request.
    helpers::data_centre_id data_centre;
    helpers::region_id region;
    // Maximum number of candidates to return.
    std::size_t max_candidates = 4;
};

class placement_strategy {
public:
    static constexpr std::string_view plug_in_kind = "placement strategy";

    virtual ~placement_strategy() = default;

    // Rebuilds internal tables. Called when the list of targets, a weight or an eligibility
    // changed.
    virtual void rebuild(std::span<const target_view> targets) = 0;

    // Appends indices of eligible targets to `candidates`, most preferred first and without
    // duplicates. `targets` has the order of the last rebuild(); loads may differ.
    virtual void rank(const placement_request& request, std::span<const target_view> targets,
                      kernel::random_source& random, std::vector<std::size_t>& candidates) = 0;
};

using strategy_registry = kernel::registry<placement_strategy>;

} // namespace samphirespool::placement
