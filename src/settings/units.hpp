// Parsers of values in settings: durations such as "250ms", sizes such as "8MiB", and counts.
#pragma once

#include "helpers/time.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace samphirespool::settings {

// Parses a whole number followed by ns, us, ms, s, min or h, without a space between them. Returns
// nothing if the text is malformed, has no unit or overflows.
std::optional<helpers::duration> parse_duration(std::string_view text);

// Parses a whole number of bytes, alone or followed by B, KiB, MiB or GiB. Returns nothing if the
// text is malformed or overflows.
std::optional<std::uint64_t> parse_size(std::string_view text);

// Parses a whole number without a sign. Returns nothing if the text is malformed or overflows.
std::optional<std::uint64_t> parse_count(std::string_view text);

} // namespace samphirespool::settings
