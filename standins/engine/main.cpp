// Program of the stand-in engine: options and start.
#include "standins/common/standin_main.hpp"
#include "standins/engine/engine.hpp"

#include <getopt.h>

#include <array>

using namespace samphirespool;

namespace {

constexpr auto usage = R"(usage: standin-engine [OPTION...]
  --listen IP:PORT            address to serve on; port 0 picks one and prints it
  --name NAME                 name in counters
  --seed N                    seed of random choices
  --tokens-per-second X       rate of one stream in a small batch
  --full-rate-streams N       batch size beyond which the rate of each stream falls
  --prefill-tokens-per-second X
  --cache-blocks N            capacity of the prefix cache in blocks of 16 tokens
  --cold-allowance N          concurrent requests that it can serve after a cold start
  --warm                      start warm
  --step-ms N                 time between two steps of the batch
  --help
)";

constexpr std::array<option, 12> long_options{{
    {"listen", required_argument, nullptr, 'l'},
    {"name", required_argument, nullptr, 'n'},
    {"seed", required_argument, nullptr, 's'},
    {"tokens-per-second", required_argument, nullptr, 't'},
    {"full-rate-streams", required_argument, nullptr, 'f'},
    {"prefill-tokens-per-second", required_argument, nullptr, 'p'},
    {"cache-blocks", required_argument, nullptr, 'b'},
    {"cold-allowance", required_argument, nullptr, 'c'},
    {"warm", no_argument, nullptr, 'w'},
    {"step-ms", required_argument, nullptr, 'm'},
    {"help", no_argument, nullptr, 'h'},
    {nullptr, 0, nullptr, 0},
}};

bool apply(int option_letter, const char* value, standins::common_options& common,
           standins::engine_options& engine) {
    switch (option_letter) {
    case 'l':
        return standins::set_listen(common, value);
    case 'n':
        common.name = value;
        return true;
    case 's':
        engine.seed = standins::to_number(value);
        return true;
    case 't':
        engine.tokens_per_second = std::strtod(value, nullptr);
        return true;
    case 'f':
        engine.full_rate_streams = standins::to_number(value);
        return true;
    case 'p':
        engine.prefill_tokens_per_second = std::strtod(value, nullptr);
        return true;
    case 'b':
        engine.cache_blocks = standins::to_number(value);
        return true;
    case 'c':
        engine.cold_allowance = standins::to_number(value);
        return true;
    case 'w':
        engine.starts_cold = false;
        return true;
    case 'm':
        engine.step = std::chrono::milliseconds(standins::to_number(value));
        return true;
    default:
        return false;
    }
}

} // namespace

int main(int argc, char** argv) {
    standins::common_options common;
    standins::engine_options options;
    int option_letter = 0;
    while ((option_letter = getopt_long(argc, argv, "", long_options.data(), nullptr)) != -1)
        if (!apply(option_letter, optarg, common, options)) {
            std::fputs(usage, option_letter == 'h' ? stdout : stderr);
            return option_letter == 'h' ? EXIT_SUCCESS : EXIT_FAILURE;
        }
    options.name = common.name;
    http::event_loop loop;
    standins::engine engine(loop, options);
    return standins::serve(loop, common, [&engine](std::unique_ptr<http::exchange> incoming) {
        engine.handle(std::move(incoming));
    });
}
