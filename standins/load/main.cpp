// Program of the load tool: parses options, runs the load and prints the summary.
#include "standins/load/load_run.hpp"

#include <getopt.h>

#include <array>
#include <cstdio>
#include <cstdlib>

using namespace samphirespool;

namespace {

constexpr auto usage = R"(usage: standin-load --to IP:PORT... [OPTION...]
  --to IP:PORT          destination; several are used in rotation
  --key KEY             API key
  --model NAME
  --rate N              requests per second; without it, --concurrency at a time
  --concurrency N
  --requests N          stop after N requests
  --seconds X           stop after X seconds
  --stream              streamed responses
  --bookings            bookings of a plain service instead of chats
  --max-tokens N        length of each response
  --chats N             number of chats that are continued
  --prompt-bytes N      length of a chat's first turn
  --turn-bytes N        length that each further turn adds
  --deadline-ms N
  --idle-connections N  opened first and left idle
  --seed N
  --help
Prints one JSON object. Exit code 1 if a response was wrong.
)";

using option_setter = bool (*)(standins::load_options&, const char*);

std::uint64_t number(const char* text) {
    return std::strtoull(text, nullptr, 10);
}

struct named_option {
    const char* name;
    int argument;
    option_setter set;
};

constexpr std::array<named_option, 16> named_options{{
    {"to", required_argument,
     [](standins::load_options& to, const char* text) {
         const auto parsed = helpers::parse_endpoint(text);
         if (parsed)
             to.to.push_back(*parsed);
         return parsed.has_value();
     }},
    {"key", required_argument,
     [](standins::load_options& to, const char* text) {
         to.key = text;
         return true;
     }},
    {"model", required_argument,
     [](standins::load_options& to, const char* text) {
         to.model = text;
         return true;
     }},
    {"rate", required_argument,
     [](standins::load_options& to, const char* text) {
         to.rate = std::strtod(text, nullptr);
         return to.rate > 0;
     }},
    {"concurrency", required_argument,
     [](standins::load_options& to, const char* text) {
         to.concurrency = number(text);
         return true;
     }},
    {"requests", required_argument,
     [](standins::load_options& to, const char* text) {
         to.requests = number(text);
         return true;
     }},
    {"seconds", required_argument,
     [](standins::load_options& to, const char* text) {
         to.seconds = std::strtod(text, nullptr);
         return true;
     }},
    {"stream", no_argument,
     [](standins::load_options& to, const char*) { return to.stream = true; }},
    {"bookings", no_argument,
     [](standins::load_options& to, const char*) { return to.bookings = true; }},
    {"max-tokens", required_argument,
     [](standins::load_options& to, const char* text) {
         to.max_tokens = number(text);
         return true;
     }},
    {"chats", required_argument,
     [](standins::load_options& to, const char* text) {
         to.chats = number(text);
         return true;
     }},
    {"prompt-bytes", required_argument,
     [](standins::load_options& to, const char* text) {
         to.prompt_bytes = number(text);
         return true;
     }},
    {"turn-bytes", required_argument,
     [](standins::load_options& to, const char* text) {
         to.turn_bytes = number(text);
         return true;
     }},
    {"deadline-ms", required_argument,
     [](standins::load_options& to, const char* text) {
         to.deadline_ms = number(text);
         return true;
     }},
    {"idle-connections", required_argument,
     [](standins::load_options& to, const char* text) {
         to.idle_connections = number(text);
         return true;
     }},
    {"seed", required_argument,
     [](standins::load_options& to, const char* text) {
         to.seed = number(text);
         return true;
     }},
}};

std::vector<option> long_options() {
    std::vector<option> result;
    result.reserve(named_options.size() + 2);
    for (const auto& each : named_options)
        result.push_back({each.name, each.argument, nullptr, 0});
    result.push_back({"help", no_argument, nullptr, 'h'});
    result.push_back({nullptr, 0, nullptr, 0});
    return result;
}

} // namespace

int main(int argc, char** argv) {
    standins::load_options options;
    const auto known = long_options();
    int option_letter = 0;
    int index = 0;
    while ((option_letter = getopt_long(argc, argv, "", known.data(), &index)) != -1) {
        const bool is_set = option_letter == 0 &&
                            named_options[static_cast<std::size_t>(index)].set(options, optarg);
        if (is_set)
            continue;
        std::fputs(usage, option_letter == 'h' ? stdout : stderr);
        return option_letter == 'h' ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    if (options.to.empty()) {
        std::fputs(usage, stderr);
        return EXIT_FAILURE;
    }
    http::event_loop loop;
    loop.on_terminate([] { std::exit(EXIT_FAILURE); });
    standins::load_run run(loop, options);
    auto& summary = run.run();
    std::puts(standins::to_json(summary).c_str());
    return summary.wrong == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
