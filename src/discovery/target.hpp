// A target as it registered itself.
#pragma once

#include "helpers/endpoint.hpp"
#include "helpers/ids.hpp"
#include "helpers/time.hpp"

#include <cstdint>
#include <string>

namespace samphirespool::discovery {

struct target {
    // The name under which it is registered; another life mostly has another one.
    std::string name;
    helpers::service_id service;
    helpers::endpoint address;
    std::string data_centre;
    bool is_draining = false;
    std::uint32_t slots = 0;
    // Start of this life, milliseconds since the Unix epoch; 0 if it is not stated.
    std::int64_t started_at = 0;
    // How much longer it stays cold, counted from when this was read.
    helpers::duration cold_for{};
};

} // namespace samphirespool::discovery
