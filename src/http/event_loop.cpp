// Runs h2o's event loop, due timers and signal handlers.
#include "http/event_loop.hpp"

#include <algorithm>
#include <csignal>
#include <utility>

namespace samphirespool::http {

namespace {

// Upper bound of the delay until a signal that arrives just before the wait is handled.
constexpr std::int32_t max_wait_ms = 50;

volatile std::sig_atomic_t terminate_requested = 0;

volatile std::sig_atomic_t reload_requested = 0;

void record_signal(int number) {
    if (number == SIGHUP)
        reload_requested = 1;
    else
        terminate_requested = 1;
}

std::int32_t wait_ms_until(helpers::time_point due, helpers::time_point now) {
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(due - now).count();
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(wait, 0, max_wait_ms));
}

} // namespace

event_loop::event_loop() : h2o(h2o_evloop_create()) {
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, record_signal);
    std::signal(SIGINT, record_signal);
    std::signal(SIGHUP, record_signal);
}

// h2o 2.2 has no function to free a loop. A process has one loop, which it keeps until it exits.
event_loop::~event_loop() = default;

kernel::timer_id event_loop::schedule(helpers::duration delay, kernel::task work) {
    return this->timers.add(this->time_source.now() + delay, std::move(work));
}

void event_loop::run() {
    while (!this->stopping)
        this->run_once();
}

void event_loop::run_once() {
    auto wait = max_wait_ms;
    if (!this->timers.empty())
        wait = wait_ms_until(this->timers.next_due(), this->time_source.now());
    h2o_evloop_run(this->h2o, wait);
    if (!this->timers.empty())
        this->timers.run_due(this->time_source.now());
    this->handle_signals();
}

void event_loop::handle_signals() {
    if (std::exchange(reload_requested, 0) != 0 && this->reload_handler)
        this->reload_handler();
    if (std::exchange(terminate_requested, 0) != 0 && this->terminate_handler)
        this->terminate_handler();
}

} // namespace samphirespool::http
