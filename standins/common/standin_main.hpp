// Shared code of the stand-ins' main functions: common options, the start line and the shutdown on
// SIGTERM.
#pragma once

#include "http/event_loop.hpp"
#include "http/standalone_server.hpp"

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <utility>

namespace samphirespool::standins {

struct common_options {
    helpers::endpoint listen{"127.0.0.1", 0};
    std::string name = "stand-in";
    std::uint64_t seed = 1;
};

// Returns false if the text isn't a valid IP:PORT.
inline bool set_listen(common_options& options, const char* text) {
    const auto parsed = helpers::parse_endpoint(text);
    if (!parsed)
        return false;
    options.listen = *parsed;
    return true;
}

inline std::uint64_t to_number(const char* text) {
    return std::strtoull(text, nullptr, 10);
}

// Serves until SIGTERM and returns the exit code. Prints a JSON line with name and port once it
// listens.
inline int serve(http::event_loop& loop, const common_options& options,
                 http::exchange_handler handler) {
    kernel::error reason;
    http::server_limits limits;
    limits.request.max_body_bytes = std::size_t{64} * 1024 * 1024;
    limits.idle_timeout = std::chrono::minutes(10);
    const auto server =
        http::standalone_server::listen(loop, options.listen, limits, std::move(handler), reason);
    if (server == nullptr) {
        std::fprintf(stderr, "%s\n", reason.detail.c_str());
        return EXIT_FAILURE;
    }
    std::printf("{\"name\":\"%s\",\"port\":%d}\n", options.name.c_str(), server->port());
    std::fflush(stdout);
    loop.on_terminate([&loop] { loop.stop(); });
    loop.run();
    return EXIT_SUCCESS;
}

} // namespace samphirespool::standins
