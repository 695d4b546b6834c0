// Requests for which no target is free: who waits, in which order, and who is refused.
#include "gateway/dispatcher.hpp"

#include <algorithm>

namespace samphirespool::gateway {

namespace {

// How often the queue is looked at while no event frees a target; reports age meanwhile.
constexpr helpers::duration queue_interval = std::chrono::milliseconds(15);
// Waiting requests that find no target before the rest is left for later, as those behind want
// mostly the same targets.
constexpr int most_misses = 6;
// A queue as short as this may empty at any moment.
constexpr std::uint32_t short_queue = 4;
// Since then requests have waited if the rate at which they get targets is that of full targets.
constexpr helpers::duration standing_queue = std::chrono::milliseconds(500);
// An output token takes a step of the engine; prompts are read many tokens at a time.
constexpr std::uint64_t output_token_cost = 10;

std::uint64_t cost_of(const placement::prompt& wanted) {
    return wanted.tokens() + wanted.output_tokens * output_token_cost;
}

} // namespace

dispatcher::ticket_id dispatcher::ask(dispatch_ticket wanted) {
    wanted.asked_at = this->loop.time().now();
    switch (this->try_assign(wanted)) {
    case verdict::assigned:
        return 0;
    case verdict::none_exists:
        wanted.refused({kernel::error_kind::no_target, "no target of the service takes work"});
        return 0;
    case verdict::wait:
        break;
    }
    if (this->queue.size() >= this->settings.max_waiting) {
        wanted.refused({kernel::error_kind::queue_full, "too many requests wait"});
        return 0;
    }
    const auto id = ++this->last_ticket;
    const auto start =
        this->turns.assign(wanted.priority, wanted.organisation, cost_of(*wanted.prompt));
    const queue_key place{wanted.priority, false, start, id};
    if (this->is_hopeless(wanted, place)) {
        wanted.refused({kernel::error_kind::queue_full, "no target will become free in time"});
        return 0;
    }
    this->queue.emplace(place, std::move(wanted));
    if (this->timer == 0)
        this->timer = this->loop.schedule(queue_interval, [this] { this->tick(); });
    return id;
}

bool dispatcher::is_hopeless(const dispatch_ticket& wanted, const queue_key& place) {
    const auto now = this->loop.time().now();
    std::uint32_t before = 0;
    auto oldest = now;
    for (const auto& [key, waiting] : this->queue) {
        if (waiting.service != wanted.service)
            continue;
        oldest = std::min(oldest, waiting.asked_at);
        before += key < place ? 1 : 0;
    }
    if (before <= short_queue || now - oldest < standing_queue)
        return false;
    const std::chrono::duration<double> patience = wanted.wait_until - now;
    const std::chrono::duration<double> window = rate_window;
    const auto rate = this->state_of(wanted.service).assigned.sum(now) / window.count();
    return before > rate * patience.count();
}

void dispatcher::withdraw(ticket_id id) {
    std::erase_if(this->queue, [id](const auto& entry) { return entry.first.id == id; });
}

void dispatcher::put_late_ones_last(helpers::time_point now) {
    for (auto next = this->queue.begin(); next != this->queue.end();) {
        const auto current = next++;
        if (current->first.is_late || now < current->second.in_time_until)
            continue;
        auto node = this->queue.extract(current);
        node.key().is_late = true;
        this->queue.insert(std::move(node));
    }
}

void dispatcher::serve_waiting() {
    if (this->serving)
        return;
    this->serving = true;
    const auto now = this->loop.time().now();
    this->put_late_ones_last(now);
    std::unordered_map<helpers::service_id, int> misses;
    for (auto next = this->queue.begin(); next != this->queue.end();) {
        const auto key = next->first;
        auto node = this->queue.extract(next);
        auto& wanted = node.mapped();
        if (now >= wanted.wait_until) {
            wanted.refused({kernel::error_kind::queue_full, "no target became free in time"});
        } else if (misses[wanted.service] >= most_misses) {
            this->queue.insert(std::move(node));
        } else if (this->try_assign(wanted) != verdict::assigned) {
            ++misses[wanted.service];
            this->queue.insert(std::move(node));
        } else {
            this->turns.on_dispatched(key.priority, key.start);
        }
        next = this->queue.upper_bound(key);
    }
    this->serving = false;
}

void dispatcher::tick() {
    this->timer = 0;
    this->serve_waiting();
    if (!this->queue.empty() && this->timer == 0)
        this->timer = this->loop.schedule(queue_interval, [this] { this->tick(); });
}

} // namespace samphirespool::gateway
