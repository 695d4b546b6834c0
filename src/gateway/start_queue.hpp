// Keeps the requests that reach a gateway before it has read the configuration, the targets and the
// departures. Callers find a restarted gateway at once and often have one retry only, which another
// gateway that has just started would use up.
#pragma once

#include "helpers/time.hpp"
#include "http/server.hpp"
#include "kernel/loop.hpp"

#include <functional>
#include <list>
#include <memory>

namespace samphirespool::gateway {

class start_queue {
public:
    // `is_complete` tells whether enough is known to serve; `pass` takes a request and the time at
    // which it came.
    using pass_task = std::function<void(std::unique_ptr<http::exchange>, helpers::time_point)>;
    start_queue(kernel::loop& loop, std::function<bool()> is_complete, pass_task pass);
    ~start_queue();
    start_queue(const start_queue&) = delete;
    start_queue& operator=(const start_queue&) = delete;

    // Passes the request on, now or when enough is known, but no later than the end of the start:
    // then the source of what is missing is away, and the answer is known.
    void take(std::unique_ptr<http::exchange> incoming);

    std::size_t waiting() const { return this->queue.size(); }

    // Since this was made. A start takes a tenth to a third of a second on a small machine.
    static constexpr helpers::duration patience = std::chrono::milliseconds(800);

private:
    struct entry {
        std::unique_ptr<http::exchange> request;
        helpers::time_point arrived{};
        bool has_departed = false;
    };

    bool is_over() const;
    void check();

    kernel::loop& loop;
    std::function<bool()> is_complete;
    pass_task pass;
    helpers::time_point started;
    // Invariant: empty once the start is over.
    std::list<entry> queue;
    kernel::timer_id timer = 0;
};

} // namespace samphirespool::gateway
