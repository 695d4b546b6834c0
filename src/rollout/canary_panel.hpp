// The targets of a new version that receive canary requests: few, so that each has about the load
// of an old target and faults under load show, and the same at all gateways.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace samphirespool::rollout {

// Indices into `names` in the order in which they join the panel, by rendezvous hashing with the
// service's name.
std::vector<std::size_t> panel_order(std::string_view service,
                                     const std::vector<std::string>& names);
// Members of the panel among `targets` if `canary_share` of the requests go to it; at least two.
std::size_t panel_size(std::size_t targets, double canary_share);

} // namespace samphirespool::rollout
