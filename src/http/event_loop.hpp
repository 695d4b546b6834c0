// The event loop of a process: h2o's loop for sockets, combined with a timer queue.
#pragma once

#include "kernel/loop.hpp"

#include <h2o.h>

namespace samphirespool::http {

class event_loop final : public kernel::loop {
public:
    event_loop();
    ~event_loop() override;
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    const kernel::clock& time() const override { return this->time_source; }
    kernel::timer_id schedule(helpers::duration delay, kernel::task work) override;
    void cancel(kernel::timer_id id) override { this->timers.cancel(id); }

    // Runs until stop() is called.
    void run();
    void stop() { this->stopping = true; }

    // One loop iteration: waits for events, at most until the next timer is due, and handles
    // events, due timers and signals.
    void run_once();

    // Sets the handler that runs on the loop after SIGTERM or SIGINT.
    void on_terminate(kernel::task work) { this->terminate_handler = std::move(work); }

    // Sets the handler that runs on the loop after SIGHUP.
    void on_reload(kernel::task work) { this->reload_handler = std::move(work); }

    h2o_loop_t* native() { return this->h2o; }

private:
    void handle_signals();

    kernel::system_clock time_source;
    kernel::timer_queue timers;
    kernel::task terminate_handler;
    kernel::task reload_handler;
    h2o_loop_t* h2o;
    bool stopping = false;
};

} // namespace samphirespool::http
