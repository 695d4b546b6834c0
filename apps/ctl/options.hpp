// Command line of samphirespoolctl.
#pragma once

#include "helpers/endpoint.hpp"
#include "helpers/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace samphirespool::ctl {

struct options {
    helpers::endpoint address{"127.0.0.1", 8081};
    std::string token_file;
    std::optional<std::uint64_t> if_version;
    std::string request_id;
    std::string html_file;
    // For one answer.
    helpers::duration timeout = std::chrono::seconds(15);
    bool json = false;
    bool help = false;
    bool version = false;
    // The command's words and its arguments.
    std::vector<std::string> words;
};

// Returns nothing after writing the fault to standard error.
std::optional<options> parse_options(int count, char** arguments);

} // namespace samphirespool::ctl
