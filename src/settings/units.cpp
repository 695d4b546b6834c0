// Parses durations, sizes and counts.
#include "settings/units.hpp"

#include <array>
#include <charconv>
#include <limits>
#include <span>

namespace samphirespool::settings {

namespace {

struct unit {
    std::string_view name;
    std::uint64_t factor;
};

constexpr std::array<unit, 6> duration_units{{
    {"ns", 1},
    {"us", 1'000},
    {"ms", 1'000'000},
    {"s", 1'000'000'000},
    {"min", 60'000'000'000},
    {"h", 3'600'000'000'000},
}};

constexpr std::array<unit, 5> size_units{{
    {"", 1},
    {"B", 1},
    {"KiB", 1ULL << 10},
    {"MiB", 1ULL << 20},
    {"GiB", 1ULL << 30},
}};

// Parses a number and the unit that follows it. Returns the number times the unit's factor, or
// nothing if the text is malformed or the product exceeds the limit.
std::optional<std::uint64_t> parse_with_unit(std::string_view text, std::span<const unit> units,
                                             std::uint64_t limit) {
    std::uint64_t number = 0;
    const auto* const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, number);
    if (error != std::errc{})
        return std::nullopt;
    const std::string_view name(end, static_cast<std::size_t>(last - end));
    for (const auto& candidate : units) {
        if (candidate.name != name)
            continue;
        if (number > limit / candidate.factor)
            return std::nullopt;
        return number * candidate.factor;
    }
    return std::nullopt;
}

} // namespace

std::optional<helpers::duration> parse_duration(std::string_view text) {
    constexpr auto limit = std::numeric_limits<helpers::duration::rep>::max();
    const auto value = parse_with_unit(text, duration_units, static_cast<std::uint64_t>(limit));
    if (!value)
        return std::nullopt;
    return helpers::duration(static_cast<helpers::duration::rep>(*value));
}

std::optional<std::uint64_t> parse_size(std::string_view text) {
    return parse_with_unit(text, size_units, std::numeric_limits<std::uint64_t>::max());
}

std::optional<std::uint64_t> parse_count(std::string_view text) {
    constexpr std::array<unit, 1> no_unit{{{"", 1}}};
    return parse_with_unit(text, no_unit, std::numeric_limits<std::uint64_t>::max());
}

} // namespace samphirespool::settings
