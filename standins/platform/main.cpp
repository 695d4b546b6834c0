// Program of the platform stand-in: options for the listen address and for limits of calls per
// second. Prints one JSON line with the port in use.
#include "http/event_loop.hpp"
#include "http/standalone_server.hpp"
#include "standins/platform/platform.hpp"

#include <getopt.h>

#include <cstdlib>
#include <iostream>
#include <optional>

using namespace samphirespool;

namespace {

struct options {
    helpers::endpoint listen{"127.0.0.1", 0};
    standins::platform_settings platform;
};

std::optional<options> parse_options(int argc, char** argv) {
    static const option known[] = {
        {"listen", required_argument, nullptr, 'l'},
        {"writes-per-second", required_argument, nullptr, 'w'},
        {"reads-per-second", required_argument, nullptr, 'r'},
        {nullptr, 0, nullptr, 0},
    };
    options result;
    int found = 0;
    while ((found = getopt_long(argc, argv, "", known, nullptr)) != -1) {
        if (found == 'w') {
            result.platform.writes_per_second = std::atof(optarg);
        } else if (found == 'r') {
            result.platform.reads_per_second = std::atof(optarg);
        } else {
            const auto address = found == 'l' ? helpers::parse_endpoint(optarg) : std::nullopt;
            if (!address)
                return std::nullopt;
            result.listen = *address;
        }
    }
    return result;
}

} // namespace

int main(int argc, char** argv) {
    const auto chosen = parse_options(argc, argv);
    if (!chosen) {
        std::cerr << "usage: standin-platform [--listen IP:PORT] [--writes-per-second N] "
                     "[--reads-per-second N]\n";
        return 2;
    }
    http::event_loop loop;
    standins::platform platform(loop, chosen->platform);
    kernel::error reason;
    const auto server = http::standalone_server::listen(
        loop, chosen->listen, {},
        [&platform](std::unique_ptr<http::exchange> call) { platform.handle(std::move(call)); },
        reason);
    if (server == nullptr) {
        std::cerr << reason.detail << '\n';
        return 1;
    }
    std::cout << R"({"program":"standin-platform","port":)" << server->port() << "}" << std::endl;
    loop.on_terminate([&loop] { loop.stop(); });
    loop.run();
    return 0;
}
