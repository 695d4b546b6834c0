// Gives turns as soon as limits and the bound on reservations allow.
#include "router/turn_queue.hpp"

#include "router/limits_in_force.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::router {

namespace {

using kernel::error_kind;

// How often waiting requests are looked at when nothing else happens: deadlines, refilled limits.
constexpr auto tick_interval = std::chrono::milliseconds(50);

} // namespace

turn_queue::turn_queue(kernel::loop& loop, fleet_view& fleet, helpers::router_id self,
                       admission::queue_limits bounds)
    : loop(loop), fleet(fleet), bounds(bounds), shares(self) {
    fleet.on_change([this] { this->refresh(); });
    this->refresh();
    this->tick();
}

turn_queue::~turn_queue() {
    this->loop.cancel(this->timer);
}

void turn_queue::refresh() {
    const auto index = this->fleet.index();
    if (index == nullptr || index == this->applied)
        return;
    this->applied = index;
    const auto& preset = index->configuration().preset();
    auto no_longer = std::exchange(this->limited, {});
    std::unordered_map<helpers::organisation_id, std::uint32_t> weights;
    for (const auto& [name, each] : index->configuration().organisations) {
        const auto id = helpers::id_of<helpers::organisation_id>(name);
        const auto changed = preset.organisation_weights.find(name);
        const auto weight =
            changed == preset.organisation_weights.end() ? each.weight : changed->second;
        if (weight != 1)
            weights.emplace(id, weight);
    }
    for (const auto& each : limits_in_force(index->configuration())) {
        this->limited.push_back(each.organisation);
        this->shares.set_limit(each.organisation, each.limit);
    }
    std::sort(this->limited.begin(), this->limited.end());
    for (const auto id : no_longer)
        if (!std::binary_search(this->limited.begin(), this->limited.end(), id))
            this->shares.remove_limit(id);
    for (const auto& service : index->services())
        this->queue_of(service.id).waiting.set_weights(weights);
}

turn_queue::service_queue& turn_queue::queue_of(helpers::service_id service) {
    return this->queues.try_emplace(service, this->bounds).first->second;
}

void turn_queue::enter(const admission::queued_request& request, helpers::service_id service,
                       turn_task turn) {
    auto& queue = this->queue_of(service);
    const auto pushed = queue.waiting.push(request, this->loop.time().now());
    if (!pushed.accepted) {
        turn(kernel::error{pushed.rejection, "no place in the queue"});
        return;
    }
    this->shares.on_enqueued(request.organisation);
    this->members.emplace(request.request,
                          member{service, request.organisation, stage::waiting, std::move(turn)});
    if (pushed.displaced)
        this->refuse(pushed.displaced->request, error_kind::queue_full);
    this->give_turns(queue);
}

bool turn_queue::has_backlog(helpers::service_id service,
                             helpers::organisation_id organisation) const {
    const auto found = this->queues.find(service);
    return found != this->queues.end() && found->second.waiting.size(organisation) > 0;
}

void turn_queue::give_turns(service_queue& queue) {
    while (queue.placing < max_placing && queue.waiting.size() > 0) {
        const auto now = this->loop.time().now();
        const auto next = queue.waiting.pop([this, now](helpers::organisation_id organisation) {
            return this->shares.try_start(organisation, now);
        });
        if (!next)
            return;
        auto& chosen = this->members.at(next->request);
        chosen.at = stage::placing;
        ++queue.placing;
        const auto turn = std::move(chosen.turn);
        turn(std::nullopt);
    }
}

void turn_queue::refuse(const helpers::request_id& request, error_kind kind) {
    const auto found = this->members.find(request);
    if (found == this->members.end())
        return;
    const auto turn = std::move(found->second.turn);
    this->shares.on_cancelled(found->second.organisation);
    this->members.erase(found);
    turn(kernel::error{kind, "waited for a turn"});
}

void turn_queue::placed(const helpers::request_id& request) {
    const auto found = this->members.find(request);
    if (found == this->members.end() || found->second.at != stage::placing)
        return;
    found->second.at = stage::running;
    auto& queue = this->queue_of(found->second.service);
    --queue.placing;
    this->give_turns(queue);
}

void turn_queue::leave(const helpers::request_id& request) {
    const auto found = this->members.find(request);
    if (found == this->members.end())
        return;
    const auto left = std::move(found->second);
    this->members.erase(found);
    auto& queue = this->queue_of(left.service);
    if (left.at == stage::waiting) {
        queue.waiting.cancel(request);
        this->shares.on_cancelled(left.organisation);
        return;
    }
    if (left.at == stage::placing)
        --queue.placing;
    this->shares.finish(left.organisation, this->loop.time().now());
    this->give_turns(queue);
}

void turn_queue::tick() {
    const auto now = this->loop.time().now();
    std::vector<admission::queued_request> expired;
    for (auto& [service, queue] : this->queues)
        queue.waiting.expire(now, expired);
    for (const auto& each : expired)
        this->refuse(each.request, error_kind::deadline_exceeded);
    if (this->reports != nullptr)
        for (const auto& report : this->shares.usage_reports(now))
            this->reports->send(report);
    std::vector<helpers::service_id> services;
    for (const auto& [service, queue] : this->queues)
        services.push_back(service);
    for (const auto service : services)
        this->give_turns(this->queue_of(service));
    this->timer = this->loop.schedule(tick_interval, [this] { this->tick(); });
}

std::size_t turn_queue::waiting() const {
    std::size_t total = 0;
    for (const auto& [service, queue] : this->queues)
        total += queue.waiting.size();
    return total;
}

} // namespace samphirespool::router
