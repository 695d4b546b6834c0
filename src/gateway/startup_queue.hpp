// Holds requests that arrive before the gateway has loaded the configuration, the targets and the
// drained data centres. Callers connect to a restarted gateway at once and often retry only once; a
// request would fail if both of its attempts were rejected by gateways that are just starting.
#pragma once

#include "helpers/time.hpp"
#include "http/server.hpp"
#include "kernel/loop.hpp"

#include <functional>
#include <list>
#include <memory>

namespace samphirespool::gateway {

class startup_queue {
public:
    // `is_initialized` returns whether the gateway has loaded what it needs to serve requests.
    // `forward_request` receives each request with the time of its arrival.
    using forward_handler =
        std::function<void(std::unique_ptr<http::exchange>, helpers::time_point)>;
    startup_queue(kernel::loop& loop, std::function<bool()> is_initialized,
                  forward_handler forward_request);
    ~startup_queue();
    startup_queue(const startup_queue&) = delete;
    startup_queue& operator=(const startup_queue&) = delete;

    // Forwards the request as soon as the gateway is initialized, but no later than max_wait after
    // construction. By then the store is assumed to be unreachable, and the request is forwarded to
    // be rejected.
    void submit(std::unique_ptr<http::exchange> incoming);

    std::size_t queued() const { return this->queue.size(); }

    // Counted from construction. Startup takes 0.1 to 0.33 s on a small machine.
    static constexpr helpers::duration max_wait = std::chrono::milliseconds(800);

private:
    struct held_request {
        std::unique_ptr<http::exchange> request;
        helpers::time_point arrived_at{};
        bool disconnected = false;
    };

    bool is_startup_finished() const;
    void check_startup();

    kernel::loop& loop;
    std::function<bool()> is_initialized;
    forward_handler forward_request;
    helpers::time_point started;
    // Invariant: empty once startup is finished.
    std::list<held_request> queue;
    kernel::timer_id timer = 0;
};

} // namespace samphirespool::gateway
