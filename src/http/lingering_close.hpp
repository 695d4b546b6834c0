// Keeps refused connections open for a moment and throws away what their callers still send, since
// the kernel would otherwise reset them before the callers have read the refusal.
#pragma once

#include "kernel/loop.hpp"

#include <list>

namespace samphirespool::http {

class lingering_close {
public:
    explicit lingering_close(kernel::loop& loop) : loop(loop) {}
    ~lingering_close();
    lingering_close(const lingering_close&) = delete;
    lingering_close& operator=(const lingering_close&) = delete;

    // Call it once the refusal is on its way; the owner of the descriptor closes it as usual.
    void linger(int descriptor);

private:
    struct lingering {
        int descriptor;
        helpers::time_point until;
    };

    void sweep();

    kernel::loop& loop;
    std::list<lingering> open;
    kernel::timer_id timer = 0;
};

} // namespace samphirespool::http
