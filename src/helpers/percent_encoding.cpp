// Encodes byte by byte.
#include "helpers/percent_encoding.hpp"

#include <algorithm>

namespace samphirespool::helpers {

namespace {

bool is_unreserved(char given) {
    return (given >= 'a' && given <= 'z') || (given >= 'A' && given <= 'Z') ||
           (given >= '0' && given <= '9') ||
           std::string_view("-._~").find(given) != std::string_view::npos;
}

} // namespace

std::string percent_encode(std::string_view text) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr unsigned base = 16;
    std::string result;
    result.reserve(text.size());
    for (const char each : text) {
        if (is_unreserved(each)) {
            result.push_back(each);
            continue;
        }
        const auto byte = static_cast<unsigned char>(each);
        result.push_back('%');
        result.push_back(digits[byte / base]);
        result.push_back(digits[byte % base]);
    }
    return result;
}

} // namespace samphirespool::helpers
