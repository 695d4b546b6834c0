// Files named on the command line.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace samphirespool::ctl {

// The content; "-" is standard input. Returns nothing after writing the fault to standard error.
std::optional<std::string> read_file(const std::string& path);

// Returns false after writing the fault to standard error.
bool write_file(const std::string& path, std::string_view content);

} // namespace samphirespool::ctl
