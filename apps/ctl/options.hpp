// Command line options of samphirespoolctl.
#pragma once

#include "helpers/endpoint.hpp"
#include "helpers/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace samphirespool::ctl {

struct options {
    // Administration listener of a router.
    helpers::endpoint address{"127.0.0.1", 8081};
    std::string token_file;
    // The configuration version that a change requires.
    std::optional<std::uint64_t> if_version;
    // Identifies the change; empty: generated.
    std::string request_id;
    // Output file of the time line; empty: text on standard output.
    std::string html_file;
    // Limit for the first byte of a response and between its bytes.
    helpers::duration timeout = std::chrono::seconds(15);
    bool json = false;
    bool help = false;
    bool version = false;
    // The command, of one or two words, and its arguments.
    std::vector<std::string> positional_arguments;
};

// Parses the command line. On a malformed one writes the error to standard error and returns
// nullopt.
std::optional<options> parse_options(int count, char** arguments);

} // namespace samphirespool::ctl
