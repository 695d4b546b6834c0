// The interface of a process's event loop through which components schedule tasks, and a simulated
// loop for tests.
#pragma once

#include "helpers/time.hpp"
#include "kernel/clock.hpp"

#include <cstdint>
#include <functional>
#include <map>

namespace samphirespool::kernel {

using task = std::function<void()>;
using timer_id = std::uint64_t;

class loop {
public:
    virtual ~loop() = default;
    // The clock that the loop's timers use.
    virtual const clock& time() const = 0;

    // Runs the task once after the delay. The returned id is never 0.
    virtual timer_id schedule(helpers::duration delay, task work) = 0;

    // Has no effect for a task that has already run or for an unknown id.
    virtual void cancel(timer_id id) = 0;

    // Runs the task as soon as possible, but not within this call.
    void post(task work) { this->schedule(helpers::duration::zero(), std::move(work)); }
};

// Pending tasks in order of due time; those due at the same time run in order of scheduling.
class timer_queue {
public:
    timer_id add(helpers::time_point due, task work);
    void cancel(timer_id id);
    // Runs the tasks that are due at the given time, but none that these tasks add.
    void run_due(helpers::time_point now);
    bool empty() const { return this->pending.empty(); }
    // The due time of the earliest task. The queue must not be empty.
    helpers::time_point next_due() const { return this->pending.begin()->first.first; }

private:
    using key = std::pair<helpers::time_point, timer_id>;

    timer_id last_id = 0;
    std::map<key, task> pending;
    // Invariant: holds exactly the due time of each pending task.
    std::map<timer_id, helpers::time_point> due_times;
};

// A loop for tests and trace replay; its time changes only by advance().
class manual_loop final : public loop {
public:
    const clock& time() const override { return this->time_source; }
    timer_id schedule(helpers::duration delay, task work) override;
    void cancel(timer_id id) override { this->timers.cancel(id); }
    // Advances the time and runs every task that becomes due, each with the clock at its due time.
    void advance(helpers::duration step);

private:
    manual_clock time_source;
    timer_queue timers;
};

} // namespace samphirespool::kernel
