// Implementation of the timer queue and the manual loop.
#include "kernel/loop.hpp"

#include <utility>

namespace samphirespool::kernel {

timer_id timer_queue::add(helpers::time_point due, task work) {
    const auto id = ++this->last_id;
    this->pending.emplace(key{due, id}, std::move(work));
    this->due_times.emplace(id, due);
    return id;
}

void timer_queue::cancel(timer_id id) {
    const auto found = this->due_times.find(id);
    if (found == this->due_times.end())
        return;
    this->pending.erase(key{found->second, id});
    this->due_times.erase(found);
}

void timer_queue::run_due(helpers::time_point now) {
    const auto last_id_before = this->last_id;
    auto next = this->pending.begin();
    while (next != this->pending.end() && next->first.first <= now) {
        if (next->first.second > last_id_before) {
            ++next;
            continue;
        }
        auto work = std::move(next->second);
        this->due_times.erase(next->first.second);
        this->pending.erase(next);
        work();
        next = this->pending.begin();
    }
}

timer_id manual_loop::schedule(helpers::duration delay, task work) {
    return this->timers.add(this->time_source.now() + delay, std::move(work));
}

void manual_loop::advance(helpers::duration step) {
    const auto end = this->time_source.now() + step;
    while (!this->timers.empty() && this->timers.next_due() <= end) {
        const auto due = this->timers.next_due();
        if (due > this->time_source.now())
            this->time_source.advance(due - this->time_source.now());
        this->timers.run_due(this->time_source.now());
    }
    this->time_source.advance(end - this->time_source.now());
}

} // namespace samphirespool::kernel
