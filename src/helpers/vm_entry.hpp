// Entries of the platform's list of VMs and their targets. The list may be seconds out of date.
#pragma once

#include "helpers/endpoint.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace samphirespool::helpers {

struct target_entry {
    std::string name;
    std::string service;
    endpoint address;
    // Increases each time the target's process starts.
    std::uint64_t incarnation = 0;

    friend bool operator==(const target_entry&, const target_entry&) = default;
};

struct vm_entry {
    std::string name;
    std::string data_centre;
    std::string region;
    // Operators are taking the VM out of service.
    bool leaving = false;
    std::vector<target_entry> targets;

    friend bool operator==(const vm_entry&, const vm_entry&) = default;
};

} // namespace samphirespool::helpers
