// Options of a run of the load tool.
#pragma once

#include "helpers/endpoint.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace samphirespool::standins {

struct load_options {
    std::vector<helpers::endpoint> to;
    std::string key;
    std::string model = "m";
    // Requests per second, sent whether or not earlier ones have responses (open loop); 0: always
    // `concurrency` requests in flight (closed loop).
    double rate = 0;
    std::uint64_t concurrency = 16;
    // Ends after this many requests or this time, whichever comes first; 0: no limit.
    std::uint64_t requests = 0;
    double seconds = 10;
    bool stream = false;
    // Bookings of a plain service instead of chats.
    bool bookings = false;
    std::uint64_t max_tokens = 32;
    // Number of chats; each request of a chat sends its earlier text again and adds a turn.
    std::uint64_t chats = 100;
    std::uint64_t prompt_bytes = 512;
    std::uint64_t turn_bytes = 64;
    std::uint64_t deadline_ms = 30'000;
    // Connections that are opened and left idle before the load begins.
    std::uint64_t idle_connections = 0;
    std::uint64_t seed = 1;
};

} // namespace samphirespool::standins
