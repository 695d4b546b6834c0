// Compares and merges sorted lists of VMs.
#include "config/vm_view.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace samphirespool::config {

namespace {

using vm_map = std::map<std::string, helpers::vm_entry, std::less<>>;

vm_map by_name(const std::vector<helpers::vm_entry>& entries) {
    vm_map result;
    for (const auto& vm : entries)
        result.insert_or_assign(vm.name, vm);
    return result;
}

std::vector<helpers::vm_entry> values_of(vm_map&& entries) {
    std::vector<helpers::vm_entry> result;
    result.reserve(entries.size());
    for (auto& [name, vm] : entries)
        result.push_back(std::move(vm));
    return result;
}

// Returns the changed and removed VMs; the versions are left empty.
vms_push diff(const std::vector<helpers::vm_entry>& before, const vm_map& after) {
    vms_push result;
    const auto old_vms = by_name(before);
    for (const auto& [name, vm] : after) {
        const auto it = old_vms.find(name);
        if (it == old_vms.end() || it->second != vm)
            result.changed.push_back(vm);
    }
    for (const auto& [name, vm] : old_vms)
        if (!after.contains(name))
            result.removed.push_back(name);
    return result;
}

} // namespace

bool vm_view::publish(const std::vector<helpers::vm_entry>& listed, std::uint64_t publisher) {
    auto new_vms = by_name(listed);
    auto change = diff(this->entries, new_vms);
    if (change.changed.empty() && change.removed.empty() && this->current.number != 0)
        return false;
    change.from = this->current;
    change.to = {this->current.number + 1, publisher};
    this->entries = values_of(std::move(new_vms));
    this->current = change.to;
    this->last_change = std::move(change);
    return true;
}

bool vm_view::adopt(const vms_push& push) {
    const auto is_full_list = push.from == vm_list_version{};
    if (push.to <= this->current || (!is_full_list && push.from != this->current))
        return false;
    auto merged = is_full_list ? vm_map{} : by_name(this->entries);
    for (const auto& name : push.removed)
        merged.erase(name);
    for (const auto& vm : push.changed)
        merged.insert_or_assign(vm.name, vm);
    this->last_change = push;
    this->entries = values_of(std::move(merged));
    this->current = push.to;
    return true;
}

vms_push vm_view::push_for(vm_list_version peer_version) const {
    if (peer_version == this->last_change.from && this->last_change.to == this->current)
        return this->last_change;
    return {{}, this->current, this->entries, {}};
}

} // namespace samphirespool::config
