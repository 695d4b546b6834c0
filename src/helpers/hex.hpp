// Hexadecimal text of 64-bit ids.
#pragma once

#include <array>
#include <charconv>
#include <cstdint>
#include <string>

namespace samphirespool::helpers {

// Lower case, without leading zeros.
inline std::string to_hex(std::uint64_t id) {
    constexpr int hexadecimal = 16;
    std::array<char, 16> digits{};
    const auto result =
        std::to_chars(digits.data(), digits.data() + digits.size(), id, hexadecimal);
    return {digits.data(), result.ptr};
}

} // namespace samphirespool::helpers
