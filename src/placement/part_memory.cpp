// A table of recent placements with the least recent one dropped first.
#include "placement/part_memory.hpp"

namespace samphirespool::placement {

std::uint64_t part_memory::key_of(std::uint64_t part, std::uint64_t target) {
    return part ^ (target * 0x9e3779b97f4a7c15ULL);
}

void part_memory::note(std::uint64_t part, std::uint64_t target, helpers::time_point now) {
    const auto key = key_of(part, target);
    const auto found = this->entries.find(key);
    if (found != this->entries.end()) {
        found->second->at = now;
        this->order.splice(this->order.begin(), this->order, found->second);
        return;
    }
    this->order.push_front({key, now});
    this->entries.emplace(key, this->order.begin());
    if (this->order.size() <= max_entries)
        return;
    this->entries.erase(this->order.back().key);
    this->order.pop_back();
}

bool part_memory::holds(std::uint64_t part, std::uint64_t target, helpers::duration age,
                        helpers::time_point now) const {
    const auto found = this->entries.find(key_of(part, target));
    return found != this->entries.end() && now - found->second->at <= age;
}

} // namespace samphirespool::placement
