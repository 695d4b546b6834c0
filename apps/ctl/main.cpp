// samphirespoolctl, the operators' command line tool: looks the command up in a table and runs it.
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
    // One word, or two separated by a space.
    std::string_view name;
    std::string_view arguments;
    std::string_view summary;
    std::size_t min_arguments;
    std::size_t max_arguments;
    int (session::*run)(session::argument_list);
};

constexpr std::size_t max_timeline_files = 1000;

constexpr std::array<command, 21> commands{{
    {"status", "", "State of the router", 0, 0, &session::status},
    {"members", "", "Routers of the fleet", 0, 0, &session::members},
    {"targets", "[SERVICE]", "Targets and their load", 0, 1, &session::targets},
    {"metrics", "", "Metrics in the Prometheus text format", 0, 0, &session::metrics},
    {"preset show", "", "The preset in force", 0, 0, &session::show_preset},
    {"preset use", "NAME", "Put a preset in force", 1, 1, &session::use_preset},
    {"marks", "", "Marks on data centres and VMs", 0, 0, &session::marks},
    {"mark", "leaving|returning data-centre|vm NAME", "Take out of service or bring back", 3, 3,
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
    {"configuration check", "FILE", "List the errors in a configuration file", 1, 1,
     &session::check_configuration},
    {"configuration apply", "FILE", "Replace the configuration by the one in a file", 1, 1,
     &session::apply_configuration},
    {"timeline", "FILE... [--html OUT]", "Merge logs into one time line", 1, max_timeline_files,
     &session::timeline},
}};

constexpr std::string_view options_help = R"(
Options:
  --address IP:PORT   administration listener of a router (127.0.0.1:8081)
  --token-file FILE   file with the bearer token
  --json              print responses as received
  --if-version N      reject the change unless the configuration is at version N
  --request-id ID     id of the change; generated and printed if not given. A retry with the
                      same id is not applied twice
  --timeout TIME      timeout of one response, such as 5s (15s)
  --html FILE         timeline: write an HTML page
  --help              print this text, or that of the given command
  --version           print the version of the program

FILE may be - for standard input.

Exit codes: 0 done, 1 rejected, 2 usage, 3 conflict, 4 not accepted (nothing changed), 5 outcome
unknown (retry with the same --request-id), 6 router not reachable, 7 not authorized, 8 mark in
effect but not stored
)";

void print_usage(std::ostream& out, const command& entry) {
    out << "  samphirespoolctl " << entry.name << " " << entry.arguments << "\n      "
        << entry.summary << "\n";
}

std::string_view first_word(std::string_view text) {
    return text.substr(0, text.find(' '));
}

// Prints the commands that begin with the given first word, or all if no command does.
void print_help(std::ostream& out, const std::vector<std::string>& words) {
    const auto is_selected = [&words](const command& entry) {
        return !words.empty() && first_word(entry.name) == words[0];
    };
    const bool show_all = std::none_of(commands.begin(), commands.end(), is_selected);
    out << "Usage:\n";
    for (const auto& entry : commands)
        if (show_all || is_selected(entry))
            print_usage(out, entry);
    out << options_help;
}

// How many of the leading words form the command's name; 0 if the words name another command.
std::size_t matched_words(const command& entry, const std::vector<std::string>& words) {
    if (!words.empty() && entry.name == words[0])
        return 1;
    return words.size() >= 2 && entry.name == words[0] + " " + words[1] ? 2 : 0;
}

std::optional<std::string> read_token(const std::string& path) {
    if (path.empty())
        return "";
    auto token = ctl::read_file(path);
    if (token)
        token->erase(token->find_last_not_of(" \r\n\t") + 1);
    return token;
}

int run(const command& entry, const ctl::options& options, session::argument_list arguments) {
    const auto token = read_token(options.token_file);
    if (!token)
        return ctl::usage;
    http::event_loop loop;
    http::h2o_client client(loop, {});
    ctl::admin_client admin(loop, client, options.address, *token, options.timeout);
    session selected(options, admin);
    return (selected.*entry.run)(arguments);
}

} // namespace

int main(int count, char** arguments) {
    const auto parsed = ctl::parse_options(count, arguments);
    if (!parsed)
        return ctl::usage;
    if (parsed->version) {
        std::cout << "samphirespoolctl " << SAMPHIRESPOOL_VERSION << "\n";
        return ctl::success;
    }
    if (parsed->help) {
        print_help(std::cout, parsed->positional_arguments);
        return ctl::success;
    }
    for (const auto& entry : commands) {
        const auto used = matched_words(entry, parsed->positional_arguments);
        if (used == 0)
            continue;
        const auto rest = session::argument_list(parsed->positional_arguments).subspan(used);
        if (rest.size() >= entry.min_arguments && rest.size() <= entry.max_arguments)
            return run(entry, *parsed, rest);
        std::cerr << "Usage:\n";
        print_usage(std::cerr, entry);
        return ctl::usage;
    }
    print_help(std::cerr, parsed->positional_arguments);
    return ctl::usage;
}
