// The gateway daemon: command line, settings, log, loop.
#include "debug/json_log.hpp"
#include "gateway/gateway.hpp"
#include "http/event_loop.hpp"
#include "platform/names.hpp"
#include "platform/object_json.hpp"
#include "platform/object_store.hpp"
#include "settings/gateway_settings.hpp"

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
  --check-config FILE   check the settings and exit: 0 if they can be used, 1 if not
  --help
  --version
SIGTERM: leave; exit 0 after the last answer. SIGHUP: read the settings again and report faults.
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

// Listeners and identity hold for the life of the process, so a change of them needs a restart.
void reload(const std::string& file, kernel::event_sink& events) {
    std::vector<kernel::error> faults;
    const auto read = read_settings(file, faults);
    for (const auto& fault : faults)
        events.write(kernel::severity::error, "settings.rejected", std::nullopt,
                     {{"reason", fault.detail}});
    if (read)
        events.write(kernel::severity::info, "settings.reloaded", std::nullopt, {});
}

// About five times the lines of a gateway's ordinary load at the size to design for.
constexpr double max_log_lines_per_second = 200;
// How long a line waits in the buffer at most.
constexpr helpers::duration flush_interval = std::chrono::milliseconds(250);

void flush_regularly(http::event_loop& loop, debug::json_log& log, std::uint64_t lost_before) {
    const auto lost = log.lost_lines();
    if (lost > lost_before)
        log.write(kernel::severity::error, "log.lines_lost", std::nullopt, {{"total", lost}});
    log.flush();
    loop.schedule(flush_interval, [&loop, &log, lost] { flush_regularly(loop, log, lost); });
}

int run(const command_line& command, const settings::gateway_settings& settings) {
    http::event_loop loop;
    kernel::hybrid_clock order(loop.time());
    kernel::error reason;
    debug::json_log_options options{settings.name, settings.log_file};
    options.to_standard_output = settings.log_file.empty();
    options.max_lines_per_second = max_log_lines_per_second;
    const auto log = debug::json_log::open(options, order, loop.time(), reason);
    if (log == nullptr) {
        std::fprintf(stderr, "%s\n", reason.detail.c_str());
        return EXIT_FAILURE;
    }
    http::h2o_client store_client(loop, {});
    platform::object_store store(store_client, settings.store, discovery::call_timeouts{});
    const platform::json_object_codec reader;
    auto keys = wire::parse_fleet_keys(std::array{settings.fleet_key});
    if (!keys) {
        std::fprintf(stderr, "fleet_key: must be 32 to 128 digits in hex\n");
        return EXIT_FAILURE;
    }
    gateway::gateway running(loop, order, settings, std::move(*keys), *log, store, reader,
                             platform::header_names());
    if (!running.start(reason)) {
        std::fprintf(stderr, "%s\n", reason.detail.c_str());
        return EXIT_FAILURE;
    }
    log->write(kernel::severity::info, "gateway.started", std::nullopt,
               {{"version", std::string(SAMPHIRESPOOL_VERSION)},
                {"caller_port", std::uint64_t{running.caller_port()}},
                {"ready_port", std::uint64_t{running.ready_port()}},
                {"metrics_port", std::uint64_t{running.metrics_port()}}});
    flush_regularly(loop, *log, 0);
    running.metrics().watch_counter({"log_lines_lost_total", "beyond the bounds of the log"},
                                    [&log] { return log->lost_lines(); });
    loop.on_terminate([&] { running.shut_down([&loop] { loop.stop(); }); });
    loop.on_reload([&] { reload(command.config_file, *log); });
    loop.run();
    log->write(kernel::severity::info, "gateway.stopped", std::nullopt, {});
    log->flush();
    return EXIT_SUCCESS;
}

// Returns the exit code if the options alone decide it.
std::optional<int> parse(int argc, char** argv, command_line& command) {
    if (const char* file = std::getenv(settings_variable))
        command.config_file = file;
    int letter = 0;
    while ((letter = getopt_long(argc, argv, "", long_options.data(), nullptr)) != -1) {
        switch (letter) {
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
