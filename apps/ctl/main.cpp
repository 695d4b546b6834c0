// The operators' program: finds the command in the table and runs it.
#include "apps/ctl/exit_codes.hpp"
#include "apps/ctl/files.hpp"
#include "apps/ctl/session.hpp"
#include "http/h2o_client.hpp"

#include <algorithm>
#include <array>
#include <iostream>

namespace {

using namespace samphirespool;
using ctl::session;

struct command {
    // One word, or two with a space between.
    std::string_view name;
    std::string_view arguments;
    std::string_view summary;
    std::size_t min_arguments;
    std::size_t max_arguments;
    int (session::*run)(session::words);
};

constexpr std::size_t many = 1000;

constexpr std::array<command, 21> commands{{
    {"status", "", "State of the router", 0, 0, &session::status},
    {"members", "", "Routers of the fleet", 0, 0, &session::members},
    {"targets", "[SERVICE]", "Targets and their load", 0, 1, &session::targets},
    {"metrics", "", "Metrics in the Prometheus text format", 0, 0, &session::metrics},
    {"preset show", "", "The preset in force", 0, 0, &session::show_preset},
    {"preset use", "NAME", "Put a preset in force", 1, 1, &session::use_preset},
    {"marks", "", "Marks on data centres and VMs", 0, 0, &session::marks},
    {"mark", "leaving|returning data-centre|vm NAME", "Take out or bring back", 3, 3,
     &session::mark},
    {"organisations list", "", "All organisations", 0, 0, &session::list_organisations},
    {"organisations show", "NAME", "One organisation as JSON", 1, 1, &session::show_organisation},
    {"organisations put", "NAME FILE", "Add or replace an organisation from JSON", 2, 2,
     &session::put_organisation},
    {"organisations remove", "NAME", "Remove an organisation", 1, 1, &session::remove_organisation},
    {"services list", "", "All services", 0, 0, &session::list_services},
    {"services put", "NAME FILE", "Add or replace a service from JSON", 2, 2,
     &session::put_service},
    {"presets list", "", "All presets", 0, 0, &session::list_presets},
    {"presets put", "NAME FILE", "Replace a preset from JSON", 2, 2, &session::put_preset},
    {"configuration show", "", "Version and size of the configuration", 0, 0,
     &session::show_configuration},
    {"configuration export", "", "The whole configuration as JSON", 0, 0,
     &session::export_configuration},
    {"configuration check", "FILE", "Name the faults of a configuration file", 1, 1,
     &session::check_configuration},
    {"configuration apply", "FILE", "Replace the configuration by a file's", 1, 1,
     &session::apply_configuration},
    {"timeline", "FILE... [--html OUT]", "Merge logs into one time line", 1, many,
     &session::timeline},
}};

constexpr std::string_view options_help = R"(
Options:
  --address IP:PORT   administration listener of a router (127.0.0.1:8081)
  --token-file FILE   file with the bearer token
  --json              print answers as they come
  --if-version N      refuse the change unless the configuration is at version N
  --request-id ID     name of the change; generated and printed if not given. A repeat with
                      the same name is not applied twice
  --timeout TIME      longest wait for one answer, such as 5s (15s)
  --html FILE         timeline: write an HTML page
  --help              this text; after a command, that command's
  --version           version of the program

FILE may be - for standard input.

Exit codes: 0 done, 1 refused, 2 usage, 3 conflict, 4 not accepted (nothing changed), 5 outcome
unknown (repeat with the same --request-id), 6 router not reachable, 7 not authorized, 8 mark in
effect but not stored
)";

void print_usage(std::ostream& out, const command& one) {
    out << "  samphirespoolctl " << one.name << " " << one.arguments << "\n      " << one.summary
        << "\n";
}

std::string_view first_word(std::string_view text) {
    return text.substr(0, text.find(' '));
}

// Shows the commands with the word, or all if there is none.
void print_help(std::ostream& out, const std::vector<std::string>& words) {
    const auto is_wanted = [&words](const command& one) {
        return !words.empty() && first_word(one.name) == words[0];
    };
    const bool show_all = std::none_of(commands.begin(), commands.end(), is_wanted);
    out << "Usage:\n";
    for (const auto& one : commands)
        if (show_all || is_wanted(one))
            print_usage(out, one);
    out << options_help;
}

// How many words of the command line name the command; 0 if they name another.
std::size_t name_length(const command& one, const std::vector<std::string>& words) {
    if (!words.empty() && one.name == words[0])
        return 1;
    return words.size() >= 2 && one.name == words[0] + " " + words[1] ? 2 : 0;
}

std::optional<std::string> read_token(const std::string& path) {
    if (path.empty())
        return "";
    auto token = ctl::read_file(path);
    if (token)
        token->erase(token->find_last_not_of(" \r\n\t") + 1);
    return token;
}

int run(const command& one, const ctl::options& wanted, session::words arguments) {
    const auto token = read_token(wanted.token_file);
    if (!token)
        return ctl::usage;
    http::event_loop loop;
    http::h2o_client client(loop, {});
    ctl::admin_client calls(loop, client, wanted.address, *token, wanted.timeout);
    session current(wanted, calls);
    return (current.*one.run)(arguments);
}

} // namespace

int main(int count, char** arguments) {
    const auto wanted = ctl::parse_options(count, arguments);
    if (!wanted)
        return ctl::usage;
    if (wanted->version) {
        std::cout << "samphirespoolctl " << SAMPHIRESPOOL_VERSION << "\n";
        return ctl::success;
    }
    if (wanted->help) {
        print_help(std::cout, wanted->words);
        return ctl::success;
    }
    for (const auto& one : commands) {
        const auto used = name_length(one, wanted->words);
        if (used == 0)
            continue;
        const auto rest = session::words(wanted->words).subspan(used);
        if (rest.size() >= one.min_arguments && rest.size() <= one.max_arguments)
            return run(one, *wanted, rest);
        std::cerr << "Usage:\n";
        print_usage(std::cerr, one);
        return ctl::usage;
    }
    print_help(std::cerr, wanted->words);
    return ctl::usage;
}
