// What the router's main program drives, whichever way the router is composed.
#pragma once

#include "kernel/loop.hpp"

#include <cstdint>

namespace samphirespool::router {

struct daemon_ports {
    std::uint16_t caller = 0;
    // 0: there is none.
    std::uint16_t admin = 0;
    std::uint16_t peer = 0;
};

class daemon {
public:
    virtual ~daemon() = default;
    virtual daemon_ports ports() const = 0;

    // Takes no new work and runs `done` once everything has ended and was handed over.
    virtual void shut_down(kernel::task done) = 0;
    virtual void reload_keys() = 0;
};

} // namespace samphirespool::router
