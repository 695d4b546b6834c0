// Registration of a target: its entry in the store.
#pragma once

#include "helpers/endpoint.hpp"
#include "helpers/ids.hpp"
#include "helpers/time.hpp"

#include <cstdint>
#include <string>

namespace samphirespool::discovery {

struct target {
    // The name under which it is registered; a later incarnation usually has another one.
    std::string name;
    helpers::service_id service;
    helpers::endpoint address;
    std::string data_centre;
    // Version of the target's software; empty if it is not stated. What two versions write into one
    // stream does not fit together.
    std::string software;
    bool is_draining = false;
    std::uint32_t slots = 0;
    // Start of this incarnation in milliseconds since the Unix epoch; 0 if it is not stated.
    std::int64_t started_at = 0;
    // Remaining time for which the target is cold, counted from when the entry was read. A cold
    // target receives at most its service's cold rate.
    helpers::duration cold_for{};
};

} // namespace samphirespool::discovery
