// Interface of a router process to its main program, for a router of a fleet and a standalone one.
#pragma once

#include "kernel/loop.hpp"

#include <cstdint>

namespace samphirespool::router {

struct daemon_ports {
    std::uint16_t caller = 0;
    // Admin and peer: 0 if this process does not listen there.
    std::uint16_t admin = 0;
    std::uint16_t peer = 0;
};

class daemon {
public:
    virtual ~daemon() = default;
    virtual daemon_ports ports() const = 0;

    // Rejects new requests and runs `done` once the requests in progress have finished and
    // everything that this process owns was handed over, or the time limits for this have passed.
    virtual void shut_down(kernel::task done) = 0;
    // Reloads the TLS keys from their files.
    virtual void reload_keys() = 0;
};

} // namespace samphirespool::router
