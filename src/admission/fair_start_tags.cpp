// Start tags per priority and organisation.
#include "admission/fair_start_tags.hpp"

#include <algorithm>

namespace samphirespool::admission {

std::uint64_t fair_start_tags::assign(std::uint32_t priority, helpers::organisation_id organisation,
                                      std::uint64_t cost) {
    auto& of = this->levels[priority];
    auto& reached = of.reached[organisation];
    const auto start = std::max(of.now, reached);
    reached = start + std::max<std::uint64_t>(1, cost);
    return start;
}

void fair_start_tags::on_dispatched(std::uint32_t priority, std::uint64_t start) {
    auto& of = this->levels[priority];
    of.now = std::max(of.now, start);
    std::erase_if(of.reached, [&of](const auto& each) { return each.second <= of.now; });
}

} // namespace samphirespool::admission
