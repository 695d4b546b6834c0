// Start-time fair queueing with cancellation, deadlines and displacement.
#include "admission/fair_queue.hpp"

#include <algorithm>

namespace samphirespool::admission {

void fair_queue::set_weights(
    std::unordered_map<helpers::organisation_id, std::uint32_t> new_weights) {
    this->weights = std::move(new_weights);
}

std::uint32_t fair_queue::weight_of(helpers::organisation_id organisation) const {
    const auto found = this->weights.find(organisation);
    return found == this->weights.end() ? 1 : std::max(1U, found->second);
}

void fair_queue::adjust_size(helpers::organisation_id organisation, int change) {
    auto& size = this->sizes[organisation];
    if (size > 0)
        this->by_size.erase({size, organisation});
    size += static_cast<std::size_t>(change);
    if (size > 0)
        this->by_size.insert({size, organisation});
    else
        this->sizes.erase(organisation);
}

push_result fair_queue::push(const queued_request& request, helpers::time_point now) {
    push_result result;
    if (request.deadline <= now) {
        result.rejection = kernel::error_kind::deadline_exceeded;
        return result;
    }
    const auto own_waiting = this->size(request.organisation);
    if (own_waiting >= this->limits.per_organisation || this->index.contains(request.request))
        return result;
    if (this->index.size() >= this->limits.total) {
        // Displace only if the other organisation still has the longer backlog afterwards.
        if (this->by_size.empty() || this->by_size.rbegin()->first <= own_waiting + 1)
            return result;
        result.displaced = this->remove_youngest(this->by_size.rbegin()->second);
    }
    const auto priority = std::min<std::size_t>(request.priority, priorities - 1);
    auto& level = this->levels[priority];
    auto& queue = level.queues[request.organisation];
    if (queue.waiting.empty()) {
        level.idle.erase({queue.start, queue.order, request.organisation});
        queue.start = std::max(queue.start, level.virtual_time);
        queue.order = ++this->activations;
        level.active.insert({queue.start, queue.order, request.organisation});
    }
    auto& waiting = queue.waiting;
    this->index[request.request] = {priority, waiting.insert(waiting.end(), request)};
    this->deadlines.insert({request.deadline, request.request});
    this->adjust_size(request.organisation, 1);
    result.accepted = true;
    return result;
}

queued_request fair_queue::remove(const queue_position& position) {
    const auto removed = *position.request;
    auto& level = this->levels[position.priority];
    auto& queue = level.queues.at(removed.organisation);
    queue.waiting.erase(position.request);
    if (queue.waiting.empty()) {
        const schedule_entry last{queue.start, queue.order, removed.organisation};
        level.active.erase(last);
        level.idle.insert(last);
        this->drop_idle(level);
    }
    this->index.erase(removed.request);
    this->deadlines.erase({removed.deadline, removed.request});
    this->adjust_size(removed.organisation, -1);
    return removed;
}

void fair_queue::drop_idle(priority_level& level) {
    while (!level.idle.empty() && level.idle.begin()->start <= level.virtual_time) {
        level.queues.erase(level.idle.begin()->organisation);
        level.idle.erase(level.idle.begin());
    }
}

queued_request fair_queue::remove_youngest(helpers::organisation_id organisation) {
    // Displace from the least urgent priority first.
    for (std::size_t priority = priorities; priority-- > 0;) {
        auto& queues = this->levels[priority].queues;
        const auto found = queues.find(organisation);
        if (found != queues.end() && !found->second.waiting.empty())
            return this->remove({priority, std::prev(found->second.waiting.end())});
    }
    return {};
}

std::optional<queued_request>
fair_queue::pop_from(std::size_t priority,
                     const std::function<bool(helpers::organisation_id)>& is_allowed) {
    auto& level = this->levels[priority];
    std::vector<schedule_entry> blocked;
    for (const auto next : level.active) {
        if (is_allowed && !is_allowed(next.organisation)) {
            blocked.push_back(next);
            continue;
        }
        auto& queue = level.queues.at(next.organisation);
        level.virtual_time = std::max(level.virtual_time, next.start);
        const auto cost = queue.waiting.front().cost_tokens * virtual_time_per_token;
        const auto next_start = level.virtual_time + cost / this->weight_of(next.organisation);
        this->raise_start(level, next, next_start);
        // Organisations skipped because of a limit accumulate no credit: raise their virtual start
        // as well.
        for (const auto& skipped : blocked)
            this->raise_start(level, skipped, next_start);
        return this->remove({priority, queue.waiting.begin()});
    }
    return std::nullopt;
}

void fair_queue::raise_start(priority_level& level, const schedule_entry& entry,
                             std::uint64_t start) {
    level.active.erase(entry);
    auto& queue = level.queues.at(entry.organisation);
    queue.start = std::max(queue.start, start);
    level.active.insert({queue.start, queue.order, entry.organisation});
}

std::optional<queued_request>
fair_queue::pop(const std::function<bool(helpers::organisation_id)>& is_allowed) {
    for (std::size_t priority = 0; priority < priorities; ++priority)
        if (auto popped = this->pop_from(priority, is_allowed))
            return popped;
    return std::nullopt;
}

void fair_queue::expire(helpers::time_point now, std::vector<queued_request>& expired) {
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now)
        expired.push_back(this->remove(this->index.at(this->deadlines.begin()->second)));
}

bool fair_queue::cancel(const helpers::request_id& request) {
    const auto found = this->index.find(request);
    if (found == this->index.end())
        return false;
    this->remove(found->second);
    return true;
}

std::optional<helpers::time_point> fair_queue::next_deadline() const {
    if (this->deadlines.empty())
        return std::nullopt;
    return this->deadlines.begin()->first;
}

std::size_t fair_queue::size(helpers::organisation_id organisation) const {
    const auto found = this->sizes.find(organisation);
    return found == this->sizes.end() ? 0 : found->second;
}

} // namespace samphirespool::admission
