// Keeps the sizes of earlier member lists until the shares that were computed from them have ended.
#include "admission/share_divisor.hpp"

#include <algorithm>

namespace samphirespool::admission {

void share_divisor::set_members(std::size_t count, helpers::time_point now) {
    while (!this->earlier.empty() && now - this->earlier.front().replaced_at > settling_time)
        this->earlier.pop_front();
    if (count == this->members)
        return;
    if (this->members != 0)
        this->earlier.push_back({now, this->members});
    this->members = count;
}

void share_divisor::on_confirmed(helpers::time_point at) {
    this->confirmed_at = std::max(this->confirmed_at.value_or(at), at);
}

std::optional<std::size_t> share_divisor::value(helpers::time_point now) const {
    const bool is_known = now - this->started_at >= settling_time;
    if (!is_known || this->members == 0 || !this->confirmed_at || now - *this->confirmed_at > lease)
        return std::nullopt;
    auto result = this->members;
    for (const auto& each : this->earlier)
        if (now - each.replaced_at <= settling_time)
            result = std::max(result, each.members);
    return result;
}

} // namespace samphirespool::admission
