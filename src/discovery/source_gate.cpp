// Admission of calls, probes and their backoff.
#include "discovery/source_gate.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::discovery {

source_gate::source_gate(kernel::loop& loop, kernel::random_source& random)
    : loop(loop), random(random), backoff(this->limits.initial), last_success(loop.time().now()) {}

source_gate::~source_gate() {
    this->loop.cancel(this->timer);
}

bool source_gate::is_trusted() const {
    return this->reachable && this->loop.time().now() - this->last_success <= confidence_time;
}

source_gate::turn_id source_gate::request(turn_handler proceed) {
    const auto id = ++this->last_turn;
    if (this->is_trusted()) {
        proceed({id, false});
        return id;
    }
    this->waiting.push_back({id, std::move(proceed)});
    this->start_probe_if_allowed();
    return id;
}

void source_gate::withdraw(turn_id id) {
    std::erase_if(this->waiting, [id](const waiting_turn& each) { return each.id == id; });
    if (this->probe != id)
        return;
    this->probe = 0;
    this->start_probe_if_allowed();
}

void source_gate::finish(turn_id id, bool has_succeeded) {
    const bool was_probe = this->probe == id;
    if (was_probe)
        this->probe = 0;
    if (has_succeeded) {
        this->reachable = true;
        this->last_success = this->loop.time().now();
        this->backoff = this->limits.initial;
        this->loop.cancel(std::exchange(this->timer, 0));
        for (auto& each : std::exchange(this->waiting, {}))
            each.proceed({each.id, false});
        return;
    }
    // Calls that were in progress when the source became unreachable fail one after the other; only
    // the first one and the probes count.
    if (!was_probe && !this->reachable)
        return;
    this->reachable = false;
    this->schedule_probe();
}

void source_gate::learn_era(std::uint64_t stated) {
    if (stated <= this->latest_era)
        return;
    this->latest_era = stated;
    for (const auto& handler : this->era_handlers)
        handler();
}

void source_gate::set_backoff(const backoff_limits& updated) {
    if (updated == this->limits)
        return;
    this->limits = updated;
    this->backoff = std::clamp(this->backoff, updated.initial, updated.max);
}

void source_gate::schedule_probe() {
    // Half of the backoff is random, so that gateways do not probe at the same time.
    const auto half = this->backoff / 2;
    const auto jitter =
        std::chrono::duration_cast<helpers::duration>(half * this->random.fraction());
    this->backoff = std::min(this->backoff * 2, this->limits.max);
    this->loop.cancel(this->timer);
    this->timer = this->loop.schedule(half + jitter, [this] {
        this->timer = 0;
        this->start_probe_if_allowed();
    });
}

void source_gate::start_probe_if_allowed() {
    if (this->probe == 0 && this->timer == 0 && !this->waiting.empty())
        this->start_probe();
}

void source_gate::start_probe() {
    auto next = std::move(this->waiting.front());
    this->waiting.pop_front();
    this->probe = next.id;
    next.proceed({next.id, true});
}

} // namespace samphirespool::discovery
