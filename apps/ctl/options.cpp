// Parsing of the command line with getopt_long.
#include "apps/ctl/options.hpp"

#include "settings/units.hpp"

#include <array>
#include <getopt.h>
#include <iostream>

namespace samphirespool::ctl {

namespace {

bool set_address(options& parsed, const char* text) {
    const auto address = helpers::parse_endpoint(text);
    if (address)
        parsed.address = *address;
    return address.has_value() && address->port != 0;
}

bool set_token_file(options& parsed, const char* text) {
    parsed.token_file = text;
    return true;
}

bool set_if_version(options& parsed, const char* text) {
    parsed.if_version = settings::parse_count(text);
    return parsed.if_version.has_value();
}

bool set_request_id(options& parsed, const char* text) {
    parsed.request_id = text;
    return !parsed.request_id.empty();
}

bool set_html(options& parsed, const char* text) {
    parsed.html_file = text;
    return !parsed.html_file.empty();
}

bool set_timeout(options& parsed, const char* text) {
    const auto timeout = settings::parse_duration(text);
    parsed.timeout = timeout.value_or(helpers::duration::zero());
    return parsed.timeout > helpers::duration::zero();
}

bool set_json(options& parsed, const char*) {
    return parsed.json = true;
}

bool set_help(options& parsed, const char*) {
    return parsed.help = true;
}

bool set_version(options& parsed, const char*) {
    return parsed.version = true;
}

struct option_row {
    const char* name;
    int has_value;
    bool (*set)(options&, const char*);
};

constexpr std::array<option_row, 9> option_rows{{
    {"address", required_argument, set_address},
    {"token-file", required_argument, set_token_file},
    {"if-version", required_argument, set_if_version},
    {"request-id", required_argument, set_request_id},
    {"html", required_argument, set_html},
    {"timeout", required_argument, set_timeout},
    {"json", no_argument, set_json},
    {"help", no_argument, set_help},
    {"version", no_argument, set_version},
}};

} // namespace

std::optional<options> parse_options(int count, char** arguments) {
    std::array<option, option_rows.size() + 1> getopt_options{};
    for (std::size_t i = 0; i < option_rows.size(); ++i)
        getopt_options.at(i) = {option_rows.at(i).name, option_rows.at(i).has_value, nullptr, 0};
    options parsed;
    int row = 0;
    while (true) {
        const int found = getopt_long(count, arguments, "", getopt_options.data(), &row);
        if (found == -1)
            break;
        if (found != 0)
            return std::nullopt;
        const auto& matched = option_rows.at(static_cast<std::size_t>(row));
        if (matched.set(parsed, optarg))
            continue;
        std::cerr << "--" << matched.name << ": malformed value " << optarg << "\n";
        return std::nullopt;
    }
    for (int i = optind; i < count; ++i)
        parsed.positional_arguments.emplace_back(arguments[i]);
    return parsed;
}

} // namespace samphirespool::ctl
