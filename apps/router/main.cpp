// The router daemon: parses the command line, reads the settings, opens the log and runs the event
// loop.
#include "config/documents.hpp"
#include "debug/json_log.hpp"
#include "helpers/heap.hpp"
#include "http/event_loop.hpp"
#include "router/router.hpp"
#include "router/standalone_router.hpp"
#include "router/static_configuration.hpp"
#include "settings/router_settings.hpp"
#include "store/store_json.hpp"

#include <getopt.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>

using namespace samphirespool;

namespace {

constexpr int exit_usage = 2;

constexpr auto usage = R"(usage: samphirespool-router --config FILE [OPTION...]
  --config FILE         settings of this router (YAML)
  --check-config FILE   validate the settings and exit: 0 if valid, 1 if not
  --configuration FILE  with --vms: static configuration (JSON) instead of the platform's
  --vms FILE            with --configuration: static list of VMs (JSON)
  --help
  --version
SIGTERM: drain, and exit with 0 after the last response. SIGHUP: reload the TLS keys.
)";

constexpr std::array<option, 7> long_options{{
    {"config", required_argument, nullptr, 'c'},
    {"check-config", required_argument, nullptr, 'k'},
    {"configuration", required_argument, nullptr, 'f'},
    {"vms", required_argument, nullptr, 'm'},
    {"help", no_argument, nullptr, 'h'},
    {"version", no_argument, nullptr, 'v'},
    {nullptr, 0, nullptr, 0},
}};

// What both kinds of daemon are constructed from.
struct daemon_dependencies {
    http::event_loop& loop;
    kernel::hybrid_clock& hybrid;
    const settings::router_settings& settings;
    kernel::event_sink& events;
};

struct command_line {
    std::string config_file;
    std::string configuration_file;
    std::string vms_file;
    bool check_only = false;
};

std::optional<std::string> read_file(const std::string& name) {
    std::ifstream file(name, std::ios::binary);
    if (!file)
        return std::nullopt;
    return std::string(std::istreambuf_iterator<char>(file), {});
}

void print_faults(const std::vector<kernel::error>& faults) {
    for (const auto& fault : faults)
        std::fprintf(stderr, "%s\n", fault.detail.c_str());
}

std::optional<settings::router_settings> read_settings(const std::string& file) {
    const auto text = read_file(file);
    if (!text) {
        std::fprintf(stderr, "cannot read %s\n", file.c_str());
        return std::nullopt;
    }
    std::vector<kernel::error> faults;
    auto read = settings::read_router_settings(*text, faults);
    if (read)
        settings::check_files(*read, faults);
    print_faults(faults);
    if (!faults.empty())
        return std::nullopt;
    return read;
}

std::unique_ptr<router::static_configuration> read_static_configuration(const command_line& command,
                                                                        const kernel::clock& time) {
    const auto configuration = read_file(command.configuration_file);
    const auto vms = read_file(command.vms_file);
    if (!configuration || !vms) {
        std::fprintf(stderr, "cannot read the file of --configuration or --vms\n");
        return nullptr;
    }
    auto imported = config::import_configuration(*configuration);
    print_faults(imported.faults);
    auto vm_list = store::parse_vm_list(*vms);
    if (!imported.value || !vm_list)
        return nullptr;
    return std::make_unique<router::static_configuration>(time, std::move(*imported.value),
                                                          std::move(*vm_list));
}

struct opened_daemon {
    // The configuration of a standalone router, which must outlive the daemon; otherwise null.
    std::unique_ptr<config::configuration_service> configuration;
    // Null if the daemon could not be started.
    std::unique_ptr<router::daemon> daemon;
};

opened_daemon open_standalone(const command_line& command, const daemon_dependencies& dependencies,
                              kernel::error& reason) {
    opened_daemon result;
    result.configuration = read_static_configuration(command, dependencies.loop.time());
    if (result.configuration == nullptr)
        return result;
    auto router = std::make_unique<router::standalone_router>(
        dependencies.loop, dependencies.settings, *result.configuration, dependencies.events);
    if (router->start(reason))
        result.daemon = std::move(router);
    return result;
}

// Opens a standalone router if a static configuration is given, else a router of the fleet.
opened_daemon open_daemon(const command_line& command, const daemon_dependencies& dependencies,
                          kernel::error& reason) {
    if (!command.configuration_file.empty() || !command.vms_file.empty())
        return open_standalone(command, dependencies, reason);
    return {nullptr, router::router::open(dependencies.loop, dependencies.hybrid,
                                          dependencies.settings, dependencies.events, reason)};
}

// Prints the ports as one JSON line on standard output and logs the start.
void announce_start(const settings::router_settings& settings, const router::daemon_ports& ports,
                    kernel::event_sink& events) {
    std::printf("{\"name\":\"%s\",\"caller_port\":%d,\"admin_port\":%d,\"peer_port\":%d}\n",
                settings.name.c_str(), ports.caller, ports.admin, ports.peer);
    std::fflush(stdout);
    events.write(kernel::severity::info, "router.started", std::nullopt,
                 {{"caller_port", std::uint64_t{ports.caller}},
                  {"admin_port", std::uint64_t{ports.admin}},
                  {"peer_port", std::uint64_t{ports.peer}}});
}

int run(const command_line& command, const settings::router_settings& settings) {
    http::event_loop loop;
    kernel::hybrid_clock hybrid(loop.time());
    kernel::error reason;
    const auto log =
        debug::json_log::open({settings.name, settings.log_file}, hybrid, loop.time(), reason);
    if (log == nullptr) {
        std::fprintf(stderr, "%s\n", reason.detail.c_str());
        return EXIT_FAILURE;
    }
    const auto opened = open_daemon(command, {loop, hybrid, settings, *log}, reason);
    if (opened.daemon == nullptr) {
        std::fprintf(stderr, "%s\n", reason.detail.c_str());
        return EXIT_FAILURE;
    }
    announce_start(settings, opened.daemon->ports(), *log);
    loop.on_terminate([&] { opened.daemon->shut_down([&loop] { loop.stop(); }); });
    loop.on_reload([&] { opened.daemon->reload_keys(); });
    loop.run();
    log->write(kernel::severity::info, "router.stopped", std::nullopt, {});
    return EXIT_SUCCESS;
}

// Parses the command line. Returns the exit code if the process is to exit at once: after --help,
// --version or a usage error.
std::optional<int> parse(int argc, char** argv, command_line& command) {
    int option_character = 0;
    while ((option_character = getopt_long(argc, argv, "", long_options.data(), nullptr)) != -1) {
        switch (option_character) {
        case 'k':
            command.check_only = true;
            [[fallthrough]];
        case 'c':
            command.config_file = optarg;
            break;
        case 'f':
            command.configuration_file = optarg;
            break;
        case 'm':
            command.vms_file = optarg;
            break;
        case 'v':
            std::puts("samphirespool-router " SAMPHIRESPOOL_VERSION);
            return EXIT_SUCCESS;
        case 'h':
            std::fputs(usage, stdout);
            return EXIT_SUCCESS;
        default:
            std::fputs(usage, stderr);
            return exit_usage;
        }
    }
    if (!command.config_file.empty())
        return std::nullopt;
    std::fputs(usage, stderr);
    return exit_usage;
}

} // namespace

int main(int argc, char** argv) {
    helpers::return_large_blocks();
    command_line command;
    if (const auto code = parse(argc, argv, command))
        return *code;
    const auto settings = read_settings(command.config_file);
    if (!settings)
        return EXIT_FAILURE;
    if (command.check_only)
        return EXIT_SUCCESS;
    return run(command, *settings);
}
