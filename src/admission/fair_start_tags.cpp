// Assignment of start tags by priority and organisation.
#include "admission/fair_start_tags.hpp"

#include <algorithm>

namespace samphirespool::admission {

std::uint64_t fair_start_tags::assign(std::uint32_t priority, helpers::organisation_id organisation,
                                      std::uint64_t cost) {
    auto& level = this->levels[priority];
    auto& last_end = level.last_end[organisation];
    const auto start = std::max(level.virtual_time, last_end);
    last_end = start + std::max<std::uint64_t>(1, cost);
    return start;
}

void fair_start_tags::on_dispatched(std::uint32_t priority, std::uint64_t start) {
    auto& level = this->levels[priority];
    level.virtual_time = std::max(level.virtual_time, start);
    std::erase_if(level.last_end,
                  [&level](const auto& entry) { return entry.second <= level.virtual_time; });
}

} // namespace samphirespool::admission
