// Access to the files named on the command line.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace samphirespool::ctl {

// Reads a file; "-" is standard input. On failure writes the error to standard error and returns
// nullopt.
std::optional<std::string> read_file(const std::string& path);

// On failure writes the error to standard error and returns false.
bool write_file(const std::string& path, std::string_view content);

} // namespace samphirespool::ctl
