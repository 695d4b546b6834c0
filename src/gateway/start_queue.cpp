// Waits for the end of the start.
#include "gateway/start_queue.hpp"

#include <utility>

namespace samphirespool::gateway {

namespace {

constexpr helpers::duration check_interval = std::chrono::milliseconds(10);

} // namespace

start_queue::start_queue(kernel::loop& loop, std::function<bool()> is_complete, pass_task pass)
    : loop(loop),
      is_complete(std::move(is_complete)),
      pass(std::move(pass)),
      started(loop.time().now()) {}

start_queue::~start_queue() {
    this->loop.cancel(this->timer);
}

bool start_queue::is_over() const {
    return this->is_complete() || this->loop.time().now() - this->started >= patience;
}

void start_queue::take(std::unique_ptr<http::exchange> incoming) {
    const auto now = this->loop.time().now();
    if (this->queue.empty() && this->is_over()) {
        this->pass(std::move(incoming), now);
        return;
    }
    auto& kept = this->queue.emplace_back(entry{std::move(incoming), now});
    kept.request->on_departed([&kept] { kept.has_departed = true; });
    if (this->timer == 0)
        this->timer = this->loop.schedule(check_interval, [this] { this->check(); });
}

void start_queue::check() {
    this->timer = 0;
    std::erase_if(this->queue, [](const entry& each) { return each.has_departed; });
    if (!this->is_over()) {
        if (!this->queue.empty())
            this->timer = this->loop.schedule(check_interval, [this] { this->check(); });
        return;
    }
    for (auto& each : std::exchange(this->queue, {})) {
        each.request->on_departed([] {});
        this->pass(std::move(each.request), each.arrived);
    }
}

} // namespace samphirespool::gateway
