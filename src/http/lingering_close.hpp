// Keeps connections of rejected requests open for a short time and discards what their callers
// still send. Otherwise the kernel would reset the connections before the callers have read the
// error response.
#pragma once

#include "kernel/loop.hpp"

#include <list>

namespace samphirespool::http {

class lingering_close {
public:
    // At most `max_open` connections linger at the same time, and none whose descriptor has the
    // number `reserved_from` or a larger one.
    lingering_close(kernel::loop& loop, std::size_t max_open, std::size_t reserved_from)
        : loop(loop), max_open(max_open), reserved_from(reserved_from) {}
    ~lingering_close();
    lingering_close(const lingering_close&) = delete;
    lingering_close& operator=(const lingering_close&) = delete;

    // Called when an error response is being sent. Works on a duplicate of the descriptor, which
    // its owner closes as usual. Does nothing if too many connections linger already.
    void linger(int descriptor);

private:
    struct lingering {
        int descriptor;
        helpers::time_point until;
        // Unless more is received.
        helpers::time_point silent_until;
        // Bytes that may still be discarded.
        std::size_t left;
    };

    void sweep();

    kernel::loop& loop;
    std::size_t max_open;
    std::size_t reserved_from;
    std::list<lingering> open;
    kernel::timer_id timer = 0;
};

} // namespace samphirespool::http
