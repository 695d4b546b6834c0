// Names and identity of rollout orders.
#include "rollout/order.hpp"

#include <algorithm>

namespace samphirespool::rollout {

namespace {

// Finaliser of splitmix64: each bit of the input changes about half of the output's.
std::uint64_t mix(std::uint64_t value) {
    value += 0x9e3779b97f4a7c15;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

} // namespace

std::string_view name_of(phase each) {
    switch (each) {
    case phase::observing:
        return "observing";
    case phase::changing_over:
        return "changing_over";
    case phase::completed:
        return "completed";
    case phase::reverted:
        return "reverted";
    }
    return "unknown";
}

order_id id_of(const order& given) {
    const auto period = static_cast<std::uint64_t>(given.period.count());
    const auto hash = mix(mix(mix(given.create_revision) ^ given.to) ^ period);
    return order_id{std::max<std::uint64_t>(1, hash)};
}

std::optional<phase> stored_order::final_phase() const {
    if (!this->status || this->status->to != this->content.to || !is_final(this->status->state))
        return std::nullopt;
    return this->status->state;
}

} // namespace samphirespool::rollout
