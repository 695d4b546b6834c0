// The loop of a process: h2o's event loop with a timer queue beside it.
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

    // Waits for events once, at most until the next timer, and handles them.
    void run_once();

    // Runs the task on the loop when the process gets SIGTERM or SIGINT.
    void on_terminate(kernel::task work) { this->terminate_task = std::move(work); }

    // Runs the task on the loop when the process gets SIGHUP.
    void on_reload(kernel::task work) { this->reload_task = std::move(work); }

    h2o_loop_t* native() { return this->h2o; }

private:
    void handle_signals();

    kernel::system_clock time_source;
    kernel::timer_queue timers;
    kernel::task terminate_task;
    kernel::task reload_task;
    h2o_loop_t* h2o;
    bool stopping = false;
};

} // namespace samphirespool::http
