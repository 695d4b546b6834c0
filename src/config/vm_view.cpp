// Difference and merge of sorted lists of VMs.
#include "config/vm_view.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace samphirespool::config {

namespace {

using vm_map = std::map<std::string, helpers::vm_entry, std::less<>>;

vm_map by_name(const std::vector<helpers::vm_entry>& entries) {
    vm_map result;
    for (const auto& each : entries)
        result.insert_or_assign(each.name, each);
    return result;
}

std::vector<helpers::vm_entry> values_of(vm_map&& entries) {
    std::vector<helpers::vm_entry> result;
    result.reserve(entries.size());
    for (auto& [name, each] : entries)
        result.push_back(std::move(each));
    return result;
}

vms_push diff(const std::vector<helpers::vm_entry>& before, const vm_map& after) {
    vms_push result;
    const auto old = by_name(before);
    for (const auto& [name, each] : after) {
        const auto found = old.find(name);
        if (found == old.end() || found->second != each)
            result.changed.push_back(each);
    }
    for (const auto& [name, each] : old)
        if (!after.contains(name))
            result.removed.push_back(name);
    return result;
}

} // namespace

bool vm_view::publish(const std::vector<helpers::vm_entry>& listed, std::uint64_t publisher) {
    auto wanted = by_name(listed);
    auto change = diff(this->entries, wanted);
    if (change.changed.empty() && change.removed.empty() && this->current.number != 0)
        return false;
    change.from = this->current;
    change.to = {this->current.number + 1, publisher};
    this->entries = values_of(std::move(wanted));
    this->current = change.to;
    this->last_change = std::move(change);
    return true;
}

bool vm_view::adopt(const vms_push& push) {
    const auto is_whole = push.from == vm_list_version{};
    if (push.to <= this->current || (!is_whole && push.from != this->current))
        return false;
    auto merged = is_whole ? vm_map{} : by_name(this->entries);
    for (const auto& name : push.removed)
        merged.erase(name);
    for (const auto& each : push.changed)
        merged.insert_or_assign(each.name, each);
    this->last_change = push;
    this->entries = values_of(std::move(merged));
    this->current = push.to;
    return true;
}

vms_push vm_view::push_for(vm_list_version known) const {
    if (known == this->last_change.from && this->last_change.to == this->current)
        return this->last_change;
    return {{}, this->current, this->entries, {}};
}

} // namespace samphirespool::config
