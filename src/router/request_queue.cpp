// Starts requests as soon as the limits and the bound on reservations allow.
#include "router/request_queue.hpp"

#include "router/effective_limits.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::router {

namespace {

using kernel::error_kind;

// How often deadlines and refilled limits of waiting requests are checked without another event.
constexpr auto tick_interval = std::chrono::milliseconds(50);

} // namespace

request_queue::request_queue(kernel::loop& loop, fleet_view& fleet, helpers::router_id self,
                             admission::queue_limits bounds)
    : loop(loop), fleet(fleet), bounds(bounds), organisation_shares(self) {
    fleet.on_change([this] { this->apply_configuration(); });
    this->apply_configuration();
    this->tick();
}

request_queue::~request_queue() {
    this->loop.cancel(this->timer);
}

void request_queue::apply_configuration() {
    const auto index = this->fleet.index();
    if (index == nullptr || index == this->applied)
        return;
    this->applied = index;
    const auto& preset = index->configuration().preset();
    auto previously_limited = std::exchange(this->limited, {});
    std::unordered_map<helpers::organisation_id, std::uint32_t> weights;
    for (const auto& [name, organisation] : index->configuration().organisations) {
        const auto id = helpers::id_of<helpers::organisation_id>(name);
        const auto preset_weight = preset.organisation_weights.find(name);
        const auto weight = preset_weight == preset.organisation_weights.end()
                                ? organisation.weight
                                : preset_weight->second;
        if (weight != 1)
            weights.emplace(id, weight);
    }
    for (const auto& effective : effective_limits(index->configuration())) {
        this->limited.push_back(effective.organisation);
        this->organisation_shares.set_limit(effective.organisation, effective.limit);
    }
    std::sort(this->limited.begin(), this->limited.end());
    for (const auto id : previously_limited)
        if (!std::binary_search(this->limited.begin(), this->limited.end(), id))
            this->organisation_shares.remove_limit(id);
    for (const auto& service : index->services())
        this->queue_of(service.id).waiting.set_weights(weights);
}

request_queue::service_queue& request_queue::queue_of(helpers::service_id service) {
    return this->queues.try_emplace(service, this->bounds).first->second;
}

void request_queue::submit(const admission::queued_request& request, helpers::service_id service,
                           start_handler on_start) {
    auto& queue = this->queue_of(service);
    const auto pushed = queue.waiting.push(request, this->loop.time().now());
    if (!pushed.accepted) {
        on_start(kernel::error{pushed.rejection, "the queue has no room for the request"});
        return;
    }
    this->organisation_shares.on_enqueued(request.organisation);
    this->entries.emplace(
        request.request, entry{service, request.organisation, stage::waiting, std::move(on_start)});
    if (pushed.displaced)
        this->reject(pushed.displaced->request, error_kind::queue_full);
    this->start_waiting(queue);
}

bool request_queue::has_backlog(helpers::service_id service,
                                helpers::organisation_id organisation) const {
    const auto it = this->queues.find(service);
    return it != this->queues.end() && it->second.waiting.size(organisation) > 0;
}

void request_queue::start_waiting(service_queue& queue) {
    while (queue.reserving < max_reserving && queue.waiting.size() > 0) {
        const auto now = this->loop.time().now();
        const auto next = queue.waiting.pop([this, now](helpers::organisation_id organisation) {
            return this->organisation_shares.try_start(organisation, now);
        });
        if (!next)
            return;
        auto& started = this->entries.at(next->request);
        started.current_stage = stage::reserving;
        ++queue.reserving;
        const auto on_start = std::move(started.handler);
        on_start(std::nullopt);
    }
}

void request_queue::reject(const helpers::request_id& request, error_kind kind) {
    const auto it = this->entries.find(request);
    if (it == this->entries.end())
        return;
    const auto on_start = std::move(it->second.handler);
    this->organisation_shares.on_cancelled(it->second.organisation);
    this->entries.erase(it);
    on_start(kernel::error{kind, "removed from the queue before it could start"});
}

void request_queue::on_target_assigned(const helpers::request_id& request) {
    const auto it = this->entries.find(request);
    if (it == this->entries.end() || it->second.current_stage != stage::reserving)
        return;
    it->second.current_stage = stage::running;
    auto& queue = this->queue_of(it->second.service);
    --queue.reserving;
    this->start_waiting(queue);
}

void request_queue::remove(const helpers::request_id& request) {
    const auto it = this->entries.find(request);
    if (it == this->entries.end())
        return;
    const auto removed = std::move(it->second);
    this->entries.erase(it);
    auto& queue = this->queue_of(removed.service);
    if (removed.current_stage == stage::waiting) {
        queue.waiting.cancel(request);
        this->organisation_shares.on_cancelled(removed.organisation);
        return;
    }
    if (removed.current_stage == stage::reserving)
        --queue.reserving;
    this->organisation_shares.finish(removed.organisation, this->loop.time().now());
    this->start_waiting(queue);
}

void request_queue::tick() {
    const auto now = this->loop.time().now();
    std::vector<admission::queued_request> expired;
    for (auto& [service, queue] : this->queues)
        queue.waiting.expire(now, expired);
    for (const auto& request : expired)
        this->reject(request.request, error_kind::deadline_exceeded);
    if (this->report_sender != nullptr)
        for (const auto& report : this->organisation_shares.usage_reports(now))
            this->report_sender->send(report);
    std::vector<helpers::service_id> services;
    for (const auto& [service, queue] : this->queues)
        services.push_back(service);
    for (const auto service : services)
        this->start_waiting(this->queue_of(service));
    this->timer = this->loop.schedule(tick_interval, [this] { this->tick(); });
}

std::size_t request_queue::waiting() const {
    std::size_t total = 0;
    for (const auto& [service, queue] : this->queues)
        total += queue.waiting.size();
    return total;
}

} // namespace samphirespool::router
