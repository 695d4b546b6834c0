// Integer identifiers of distinct types, so that a target id cannot be passed where a router id is
// expected.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace samphirespool::helpers {

template <class Tag>
struct strong_id {
    std::uint64_t value = 0;

    friend constexpr auto operator<=>(const strong_id&, const strong_id&) = default;
};

} // namespace samphirespool::helpers

template <class Tag>
struct std::hash<samphirespool::helpers::strong_id<Tag>> {
    std::size_t operator()(const samphirespool::helpers::strong_id<Tag>& id) const noexcept {
        return static_cast<std::size_t>(id.value);
    }
};
