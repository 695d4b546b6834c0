// Reads the command line with getopt_long.
#include "apps/ctl/options.hpp"

#include "settings/units.hpp"

#include <array>
#include <getopt.h>
#include <iostream>

namespace samphirespool::ctl {

namespace {

bool set_address(options& wanted, const char* text) {
    const auto address = helpers::parse_endpoint(text);
    if (address)
        wanted.address = *address;
    return address.has_value() && address->port != 0;
}

bool set_token_file(options& wanted, const char* text) {
    wanted.token_file = text;
    return true;
}

bool set_if_version(options& wanted, const char* text) {
    wanted.if_version = settings::parse_count(text);
    return wanted.if_version.has_value();
}

bool set_request_id(options& wanted, const char* text) {
    wanted.request_id = text;
    return !wanted.request_id.empty();
}

bool set_html(options& wanted, const char* text) {
    wanted.html_file = text;
    return !wanted.html_file.empty();
}

bool set_timeout(options& wanted, const char* text) {
    const auto timeout = settings::parse_duration(text);
    wanted.timeout = timeout.value_or(helpers::duration::zero());
    return wanted.timeout > helpers::duration::zero();
}

bool set_json(options& wanted, const char*) {
    return wanted.json = true;
}

bool set_help(options& wanted, const char*) {
    return wanted.help = true;
}

bool set_version(options& wanted, const char*) {
    return wanted.version = true;
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
    std::array<option, option_rows.size() + 1> native{};
    for (std::size_t i = 0; i < option_rows.size(); ++i)
        native.at(i) = {option_rows.at(i).name, option_rows.at(i).has_value, nullptr, 0};
    options wanted;
    int row = 0;
    while (true) {
        const int found = getopt_long(count, arguments, "", native.data(), &row);
        if (found == -1)
            break;
        if (found != 0)
            return std::nullopt;
        const auto& chosen = option_rows.at(static_cast<std::size_t>(row));
        if (chosen.set(wanted, optarg))
            continue;
        std::cerr << "--" << chosen.name << ": malformed value " << optarg << "\n";
        return std::nullopt;
    }
    for (int i = optind; i < count; ++i)
        wanted.words.emplace_back(arguments[i]);
    return wanted;
}

} // namespace samphirespool::ctl
