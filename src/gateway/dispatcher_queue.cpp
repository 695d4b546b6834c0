// The queue of requests for which no target has capacity: admission, order and rejection.
#include "gateway/dispatcher.hpp"

#include <algorithm>

namespace samphirespool::gateway {

namespace {

// Interval at which the queue is retried even if no attempt finished: the load estimates change as
// occupancy reports age.
constexpr helpers::duration queue_retry_interval = std::chrono::milliseconds(15);
// Failed assignments per service after which a pass over the queue skips that service's other
// requests, since they compete mostly for the same targets.
constexpr int max_misses_per_pass = 6;
// Queues up to this length can drain at any moment, so no request is rejected because of them.
constexpr std::uint32_t max_short_queue = 4;
// If the oldest request has been queued for this long, the targets are saturated and the measured
// rate of assignments is their full capacity.
constexpr helpers::duration saturation_time = std::chrono::milliseconds(500);
// Cost of an output token relative to a prompt token: each output token takes one engine step,
// while prompts are processed many tokens per step.
constexpr std::uint64_t output_token_cost = 10;

std::uint64_t cost_of(const placement::prompt& request) {
    return request.tokens() + request.output_tokens * output_token_cost;
}

kernel::error all_quiet_reason() {
    return {kernel::error_kind::queue_full, "all targets of the service have asked for quiet"};
}

} // namespace

dispatcher::dispatch_id dispatcher::submit(dispatch_request request) {
    request.submitted_at = this->loop.time().now();
    if (this->versions != nullptr && !request.software)
        request.side = this->versions->choose_side(request.service, request.route, request.is_retry,
                                                   request.submitted_at);
    switch (this->try_assign(request)) {
    case assign_outcome::assigned:
        return 0;
    case assign_outcome::no_target:
        request.on_rejected({kernel::error_kind::no_target, "no target of the service takes work"});
        return 0;
    case assign_outcome::all_quiet:
        request.on_rejected(all_quiet_reason());
        return 0;
    case assign_outcome::no_path:
        if (request.on_no_path) {
            request.on_no_path();
            return 0;
        }
        break;
    case assign_outcome::must_wait:
        break;
    }
    if (this->queue.size() >= this->settings.max_queued) {
        request.on_rejected({kernel::error_kind::queue_full, "too many requests wait"});
        return 0;
    }
    const auto id = ++this->last_dispatch;
    const auto virtual_start =
        this->fair_order.assign(request.priority, request.organisation, cost_of(*request.prompt));
    const queue_key key{request.priority, false, virtual_start, id};
    if (this->would_time_out(request, key)) {
        request.on_rejected({kernel::error_kind::queue_full, "no target will become free in time"});
        return 0;
    }
    this->queue.emplace(key, std::move(request));
    if (this->timer == 0)
        this->timer = this->loop.schedule(queue_retry_interval, [this] { this->tick(); });
    return id;
}

bool dispatcher::would_time_out(const dispatch_request& request, const queue_key& own_key) {
    const auto now = this->loop.time().now();
    std::uint32_t requests_ahead = 0;
    auto oldest = now;
    for (const auto& [key, waiting] : this->queue) {
        if (waiting.service != request.service)
            continue;
        oldest = std::min(oldest, waiting.submitted_at);
        requests_ahead += key < own_key ? 1 : 0;
    }
    if (requests_ahead <= max_short_queue || now - oldest < saturation_time)
        return false;
    const std::chrono::duration<double> wait_limit = request.queue_deadline - now;
    const std::chrono::duration<double> window = rate_window;
    const auto rate = this->state_of(request.service).recent_assignments.sum(now) / window.count();
    return requests_ahead > rate * wait_limit.count();
}

void dispatcher::cancel(dispatch_id id) {
    std::erase_if(this->queue, [id](const auto& entry) { return entry.first.id == id; });
}

void dispatcher::demote_late_requests(helpers::time_point now) {
    for (auto next = this->queue.begin(); next != this->queue.end();) {
        const auto current = next++;
        if (current->first.misses_objective || now < current->second.objective_assign_by)
            continue;
        auto node = this->queue.extract(current);
        node.key().misses_objective = true;
        this->queue.insert(std::move(node));
    }
}

void dispatcher::serve_queue() {
    if (this->is_serving)
        return;
    this->is_serving = true;
    const auto now = this->loop.time().now();
    this->demote_late_requests(now);
    std::unordered_map<helpers::service_id, int> misses;
    for (auto next = this->queue.begin(); next != this->queue.end();) {
        const auto key = next->first;
        auto node = this->queue.extract(next);
        auto& request = node.mapped();
        if (now >= request.queue_deadline) {
            request.on_rejected({kernel::error_kind::queue_full, "no target became free in time"});
        } else if (misses[request.service] >= max_misses_per_pass) {
            this->queue.insert(std::move(node));
        } else {
            const auto outcome = this->try_assign(request);
            if (outcome == assign_outcome::assigned) {
                this->fair_order.on_dispatched(key.priority, key.virtual_start);
            } else if (outcome == assign_outcome::no_path && request.on_no_path) {
                request.on_no_path();
            } else if (outcome == assign_outcome::all_quiet) {
                request.on_rejected(all_quiet_reason());
            } else {
                ++misses[request.service];
                this->queue.insert(std::move(node));
            }
        }
        next = this->queue.upper_bound(key);
    }
    this->is_serving = false;
}

void dispatcher::tick() {
    this->timer = 0;
    this->serve_queue();
    if (!this->queue.empty() && this->timer == 0)
        this->timer = this->loop.schedule(queue_retry_interval, [this] { this->tick(); });
}

} // namespace samphirespool::gateway
