// Deficit round robin with cancellation, deadlines and displacement.
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
        result.refusal = kernel::error_kind::deadline_exceeded;
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
    auto& queues = this->levels[priority];
    queues.quantum = std::max<std::uint64_t>(queues.quantum, request.cost_tokens);
    auto [position, is_new] = queues.by_organisation.try_emplace(request.organisation);
    if (is_new)
        position->second = queues.active.insert(
            queues.active.end(), organisation_queue{request.organisation, {}, 0, false});
    auto& waiting = position->second->waiting;
    this->index[request.request] = {priority, waiting.insert(waiting.end(), request)};
    this->deadlines.insert({request.deadline, request.request});
    this->count(request.organisation, 1);
    result.accepted = true;
    return result;
}

queued_request fair_queue::remove(const place& at) {
    const auto removed = *at.request;
    auto& queues = this->levels[at.priority];
    const auto queue = queues.by_organisation.at(removed.organisation);
    queue->waiting.erase(at.request);
    if (queue->waiting.empty()) {
        queues.by_organisation.erase(removed.organisation);
        queues.active.erase(queue);
    }
    this->index.erase(removed.request);
    this->deadlines.erase({removed.deadline, removed.request});
    this->count(removed.organisation, -1);
    return removed;
}

queued_request fair_queue::take_youngest(helpers::organisation_id organisation) {
    // The least urgent priority gives way first.
    for (std::size_t priority = priorities; priority-- > 0;) {
        auto& queues = this->levels[priority];
        const auto found = queues.by_organisation.find(organisation);
        if (found != queues.by_organisation.end())
            return this->remove({priority, std::prev(found->second->waiting.end())});
    }
    return {};
}

std::optional<fair_queue::place>
fair_queue::next_of(std::size_t priority,
                    const std::function<bool(helpers::organisation_id)>& may_run) {
    auto& queues = this->levels[priority];
    // One visit may only end a turn; the next visit then has a full quantum.
    std::size_t visits = queues.active.size() + 1;
    while (!queues.active.empty() && visits-- > 0) {
        auto& first = queues.active.front();
        if (!first.has_turn) {
            first.deficit += queues.quantum * this->weight_of(first.organisation);
            first.has_turn = true;
        }
        const auto cost = first.waiting.front().cost_tokens;
        const bool affordable = first.deficit >= cost;
        if (affordable && (!may_run || may_run(first.organisation))) {
            first.deficit -= cost;
            return place{priority, first.waiting.begin()};
        }
        // Who is held back by a limit saves nothing up.
        if (affordable)
            first.deficit = 0;
        first.has_turn = false;
        queues.active.splice(queues.active.end(), queues.active, queues.active.begin());
    }
    return std::nullopt;
}

std::optional<queued_request>
fair_queue::pop(const std::function<bool(helpers::organisation_id)>& may_run) {
    for (std::size_t priority = 0; priority < priorities; ++priority) {
        const auto next = this->next_of(priority, may_run);
        if (next)
            return this->remove(*next);
    }
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
