// Values with units as they stand in settings: durations such as "250ms", sizes such as "8MiB".
#pragma once

#include "helpers/time.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace samphirespool::settings {

// A whole number followed by ns, us, ms, s, min or h, without space between. Returns nothing if
// the text is malformed, has no unit or does not fit.
std::optional<helpers::duration> parse_duration(std::string_view text);

// A whole number of bytes, alone or followed by B, KiB, MiB or GiB. Returns nothing if the text is
// malformed or does not fit.
std::optional<std::uint64_t> parse_size(std::string_view text);

// A whole number without sign. Returns nothing if the text is malformed or does not fit.
std::optional<std::uint64_t> parse_count(std::string_view text);

} // namespace samphirespool::settings
