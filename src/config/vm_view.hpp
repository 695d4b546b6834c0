// One router's replica of the platform's list of VMs, which relays publish in numbered versions.
#pragma once

#include "config/configuration_network.hpp"

#include <optional>
#include <vector>

namespace samphirespool::config {

class vm_view {
public:
    const std::vector<helpers::vm_entry>& vms() const { return this->entries; }
    vm_list_version version() const { return this->current; }

    // Replaces the list by one that this router, a relay, read from the platform, under a new
    // version. Returns whether it differs; the first list always does.
    bool publish(const std::vector<helpers::vm_entry>& listed, std::uint64_t publisher);

    // Applies a peer's push. Returns false, without effect, if it is not newer or starts at another
    // version.
    bool adopt(const vms_push& push);

    // Returns the push that updates a peer: the last change if the peer has the version before it,
    // else the whole list.
    vms_push push_for(vm_list_version peer_version) const;

private:
    // Invariant: sorted by name; names are unique.
    std::vector<helpers::vm_entry> entries;
    vm_list_version current;
    vms_push last_change;
};

} // namespace samphirespool::config
