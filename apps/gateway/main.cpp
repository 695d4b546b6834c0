// The gateway daemon: parses the command line, reads the settings, opens the log and runs the event
// loop.
#include "debug/json_log.hpp"
#include "gateway/gateway.hpp"
#include "helpers/heap.hpp"
#include "http/event_loop.hpp"
#include "http/intake_metrics.hpp"
#include "platform/names.hpp"
#include "platform/object_json.hpp"
#include "platform/object_store.hpp"
#include "settings/gateway_settings.hpp"
#include "settings/machine_memory.hpp"

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
constexpr auto settings_variable = "SAMPHIRESPOOL_CONFIG";

constexpr auto usage = R"(usage: samphirespool-gateway [--config FILE] [OPTION...]
  --config FILE         settings of this gateway (YAML); default: $SAMPHIRESPOOL_CONFIG
  --check-config FILE   validate the settings and exit: 0 if valid, 1 if not
  --help
  --version
SIGTERM: drain, and exit with 0 after the last response. SIGHUP: validate the settings file again
and log its errors; a change takes effect after a restart.
)";

constexpr std::array<option, 5> long_options{{
    {"config", required_argument, nullptr, 'c'},
    {"check-config", required_argument, nullptr, 'k'},
    {"help", no_argument, nullptr, 'h'},
    {"version", no_argument, nullptr, 'v'},
    {nullptr, 0, nullptr, 0},
}};

struct command_line {
    std::string config_file;
    bool check_only = false;
};

std::optional<settings::gateway_settings> read_settings(const std::string& name,
                                                        std::vector<kernel::error>& faults) {
    std::ifstream file(name, std::ios::binary);
    if (!file) {
        faults.push_back({kernel::error_kind::invalid_settings, "cannot read " + name});
        return std::nullopt;
    }
    const std::string text(std::istreambuf_iterator<char>(file), {});
    return settings::read_gateway_settings(text, faults);
}

// Validates the settings file and logs the result. Listeners and identity are fixed while the
// process runs, so changed settings take effect only after a restart.
void validate_settings_file(const std::string& file, kernel::event_sink& events) {
    std::vector<kernel::error> faults;
    const auto parsed = read_settings(file, faults);
    for (const auto& fault : faults)
        events.write(kernel::severity::error, "settings.rejected", std::nullopt,
                     {{"reason", fault.detail}});
    if (parsed)
        events.write(kernel::severity::info, "settings.reloaded", std::nullopt, {});
}

// About five times the log lines of a gateway under normal load in a fleet of the design size.
constexpr double max_log_lines_per_second = 200;
// The longest time that a line stays in the log's buffer while its reader keeps up.
constexpr helpers::duration flush_interval = std::chrono::milliseconds(250);

// Flushes the log periodically and logs an error if lines were lost since the last flush.
void flush_periodically(http::event_loop& loop, debug::json_log& log,
                        std::uint64_t previously_lost) {
    const auto lost = log.lost_lines();
    if (lost > previously_lost)
        log.write(kernel::severity::error, "log.lines_lost", std::nullopt, {{"total", lost}});
    log.flush();
    loop.schedule(flush_interval, [&loop, &log, lost] { flush_periodically(loop, log, lost); });
}

int run(const command_line& command, const settings::gateway_settings& settings) {
    http::event_loop loop;
    kernel::hybrid_clock hybrid(loop.time());
    kernel::error reason;
    debug::json_log_options options{settings.name, settings.log_file};
    options.to_standard_output = settings.log_file.empty();
    options.max_lines_per_second = max_log_lines_per_second;
    const auto log = debug::json_log::open(options, hybrid, loop.time(), reason);
    if (log == nullptr) {
        std::fprintf(stderr, "%s\n", reason.detail.c_str());
        return EXIT_FAILURE;
    }
    http::h2o_client store_client(loop, {});
    http::caller_memory memory(settings::memory_limit_mb(settings.memory_limit_mb), loop.time());
    platform::object_store store(store_client, settings.store, discovery::call_timeouts{},
                                 memory.account());
    const platform::json_object_codec codec;
    auto keys = wire::parse_fleet_keys(std::array{settings.fleet_key});
    if (!keys) {
        std::fprintf(stderr, "fleet_key: must be 32 to 128 hex digits\n");
        return EXIT_FAILURE;
    }
    gateway::gateway instance(loop, hybrid, settings, std::move(*keys), *log, store, codec,
                              platform::header_names(), memory);
    if (!instance.start(reason)) {
        std::fprintf(stderr, "%s\n", reason.detail.c_str());
        return EXIT_FAILURE;
    }
    log->write(kernel::severity::info, "gateway.started", std::nullopt,
               {{"version", std::string(SAMPHIRESPOOL_VERSION)},
                {"caller_port", std::uint64_t{instance.caller_port()}},
                {"ready_port", std::uint64_t{instance.ready_port()}},
                {"metrics_port", std::uint64_t{instance.metrics_port()}}});
    flush_periodically(loop, *log, 0);
    instance.metrics().watch_counter(
        {"log_lines_lost_total",
         "Log lines dropped at the log's rate or buffer limit, or not written."},
        [&log] { return log->lost_lines(); });
    http::register_response_metrics(instance.metrics(), "", "store", {&store_client.faults()});
    loop.on_terminate([&] { instance.shut_down([&loop] { loop.stop(); }); });
    loop.on_reload([&] { validate_settings_file(command.config_file, *log); });
    loop.run();
    log->write(kernel::severity::info, "gateway.stopped", std::nullopt, {});
    log->flush();
    return EXIT_SUCCESS;
}

// Parses the command line. Returns the exit code if the process is to exit at once: after --help,
// --version or a usage error.
std::optional<int> parse(int argc, char** argv, command_line& command) {
    if (const char* file = std::getenv(settings_variable))
        command.config_file = file;
    int option_character = 0;
    while ((option_character = getopt_long(argc, argv, "", long_options.data(), nullptr)) != -1) {
        switch (option_character) {
        case 'k':
            command.check_only = true;
            [[fallthrough]];
        case 'c':
            command.config_file = optarg;
            break;
        case 'v':
            std::puts("samphirespool-gateway " SAMPHIRESPOOL_VERSION);
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
    std::vector<kernel::error> faults;
    const auto settings = read_settings(command.config_file, faults);
    for (const auto& fault : faults)
        std::fprintf(stderr, "%s\n", fault.detail.c_str());
    if (!settings)
        return EXIT_FAILURE;
    if (command.check_only)
        return EXIT_SUCCESS;
    return run(command, *settings);
}
