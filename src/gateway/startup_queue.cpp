// Polls for the end of startup and then forwards the queued requests.
#include "gateway/startup_queue.hpp"

#include <utility>

namespace samphirespool::gateway {

namespace {

constexpr helpers::duration check_interval = std::chrono::milliseconds(10);

} // namespace

startup_queue::startup_queue(kernel::loop& loop, std::function<bool()> is_initialized,
                             forward_handler forward_request)
    : loop(loop),
      is_initialized(std::move(is_initialized)),
      forward_request(std::move(forward_request)),
      started(loop.time().now()) {}

startup_queue::~startup_queue() {
    this->loop.cancel(this->timer);
}

bool startup_queue::is_startup_finished() const {
    return this->is_initialized() || this->loop.time().now() - this->started >= max_wait;
}

void startup_queue::submit(std::unique_ptr<http::exchange> incoming) {
    // A caller's time includes that in which its body arrives.
    const auto arrived = incoming->arrived_at().value_or(this->loop.time().now());
    if (this->queue.empty() && this->is_startup_finished()) {
        this->forward_request(std::move(incoming), arrived);
        return;
    }
    auto& added = this->queue.emplace_back(held_request{std::move(incoming), arrived});
    added.request->on_disconnected([&added] { added.disconnected = true; });
    if (this->timer == 0)
        this->timer = this->loop.schedule(check_interval, [this] { this->check_startup(); });
}

void startup_queue::check_startup() {
    this->timer = 0;
    std::erase_if(this->queue, [](const held_request& each) { return each.disconnected; });
    if (!this->is_startup_finished()) {
        if (!this->queue.empty())
            this->timer = this->loop.schedule(check_interval, [this] { this->check_startup(); });
        return;
    }
    for (auto& each : std::exchange(this->queue, {})) {
        each.request->on_disconnected([] {});
        this->forward_request(std::move(each.request), each.arrived_at);
    }
}

} // namespace samphirespool::gateway
