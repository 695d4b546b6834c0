// Start-time fair queueing with cancellation, deadlines and displacement.
#include "admission/fair_queue.hpp"

#include <algorithm>

namespace samphirespool::admission {

void fair_queue::set_weights(std::unordered_map<helpers::organisation_id, std::uint32_t> wanted) {
    this->weights = std::move(wanted);
}

std::uint32_t fair_queue::weight_of(helpers::organisation_id organisation) const {
    const auto found = this->weights.find(organisation);
    return found == this->weights.end() ? 1 : std::max(1U, found->second);
}

void fair_queue::count(helpers::organisation_id organisation, int change) {
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
    const auto own = this->size(request.organisation);
    if (own >= this->limits.per_organisation || this->index.contains(request.request))
        return result;
    if (this->index.size() >= this->limits.total) {
        // Displacing is only fair if the other one still has more waiting afterwards.
        if (this->by_size.empty() || this->by_size.rbegin()->first <= own + 1)
            return result;
        result.displaced = this->take_youngest(this->by_size.rbegin()->second);
    }
    const auto priority = std::min<std::size_t>(request.priority, priorities - 1);
    auto& of = this->levels[priority];
    auto& queue = of.queues[request.organisation];
    if (queue.waiting.empty()) {
        of.idle.erase({queue.start, queue.order, request.organisation});
        queue.start = std::max(queue.start, of.virtual_time);
        queue.order = ++this->pushes;
        of.active.insert({queue.start, queue.order, request.organisation});
    }
    auto& waiting = queue.waiting;
    this->index[request.request] = {priority, waiting.insert(waiting.end(), request)};
    this->deadlines.insert({request.deadline, request.request});
    this->count(request.organisation, 1);
    result.accepted = true;
    return result;
}

queued_request fair_queue::remove(const place& at) {
    const auto removed = *at.request;
    auto& of = this->levels[at.priority];
    auto& queue = of.queues.at(removed.organisation);
    queue.waiting.erase(at.request);
    if (queue.waiting.empty()) {
        const turn last{queue.start, queue.order, removed.organisation};
        of.active.erase(last);
        of.idle.insert(last);
        this->forget_idle(of);
    }
    this->index.erase(removed.request);
    this->deadlines.erase({removed.deadline, removed.request});
    this->count(removed.organisation, -1);
    return removed;
}

void fair_queue::forget_idle(level& of) {
    while (!of.idle.empty() && of.idle.begin()->start <= of.virtual_time) {
        of.queues.erase(of.idle.begin()->organisation);
        of.idle.erase(of.idle.begin());
    }
}

queued_request fair_queue::take_youngest(helpers::organisation_id organisation) {
    // The least urgent priority gives way first.
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
                     const std::function<bool(helpers::organisation_id)>& may_run) {
    auto& of = this->levels[priority];
    std::vector<turn> held_back;
    for (const auto next : of.active) {
        if (may_run && !may_run(next.organisation)) {
            held_back.push_back(next);
            continue;
        }
        auto& queue = of.queues.at(next.organisation);
        of.virtual_time = std::max(of.virtual_time, next.start);
        const auto cost = queue.waiting.front().cost_tokens * token_time;
        const auto end = of.virtual_time + cost / this->weight_of(next.organisation);
        this->move_turn(of, next, end);
        // Who was held back by a limit saves nothing up: the turn is over for it as well.
        for (const auto& passed : held_back)
            this->move_turn(of, passed, end);
        return this->remove({priority, queue.waiting.begin()});
    }
    return std::nullopt;
}

void fair_queue::move_turn(level& of, const turn& from, std::uint64_t start) {
    of.active.erase(from);
    auto& queue = of.queues.at(from.organisation);
    queue.start = std::max(queue.start, start);
    of.active.insert({queue.start, queue.order, from.organisation});
}

std::optional<queued_request>
fair_queue::pop(const std::function<bool(helpers::organisation_id)>& may_run) {
    for (std::size_t priority = 0; priority < priorities; ++priority)
        if (auto popped = this->pop_from(priority, may_run))
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
