// Interface of placement: a key and the targets of a service in, a preference list out.
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
    // Where the request entered.
    helpers::data_centre_id data_centre;
    helpers::region_id region;
    // How many candidates the caller can use.
    std::size_t max_candidates = 4;
};

class placement_strategy {
public:
    static constexpr std::string_view plug_in_kind = "placement strategy";

    virtual ~placement_strategy() = default;

    // Called when the list of targets, their weight or their eligibility changed.
    virtual void rebuild(std::span<const target_view> targets) = 0;

    // Appends indices into `targets`, most preferred first; only eligible ones, none twice.
    // `targets` has the order of the last rebuild(); loads may differ.
    virtual void rank(const placement_request& request, std::span<const target_view> targets,
                      kernel::random_source& random, std::vector<std::size_t>& candidates) = 0;
};

using strategy_registry = kernel::registry<placement_strategy>;

} // namespace samphirespool::placement
