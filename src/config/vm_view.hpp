// The platform's list of VMs as one router knows it, with the order in which relays publish it.
#pragma once

#include "config/configuration_network.hpp"

#include <optional>
#include <vector>

namespace samphirespool::config {

class vm_view {
public:
    const std::vector<helpers::vm_entry>& vms() const { return this->entries; }
    vm_list_version version() const { return this->current; }

    // Takes a list that this router read from the platform. Returns whether it differs.
    bool publish(const std::vector<helpers::vm_entry>& listed, std::uint64_t publisher);

    // Takes a peer's push. Returns false if it is older or starts at another version.
    bool adopt(const vms_push& push);

    // What a router of the given version lacks: the last change if it has the version before it,
    // else the whole list.
    vms_push push_for(vm_list_version known) const;

private:
    // Invariant: sorted by name, each name once.
    std::vector<helpers::vm_entry> entries;
    vm_list_version current;
    vms_push last_change;
};

} // namespace samphirespool::config
