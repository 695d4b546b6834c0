// Grants from the ledgers and serves the queues in order of arrival.
#include "router/local_reservations.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::router {

namespace {

using kernel::error_kind;

// Time from a grant until the request must be sent.
constexpr auto grant_validity = std::chrono::seconds(2);

admission::reservation_reply make_rejection(error_kind kind, std::string detail) {
    admission::reservation_reply reply;
    reply.rejection = {kind, std::move(detail)};
    return reply;
}

} // namespace

local_reservations::local_reservations(kernel::loop& loop, fleet_view& fleet,
                                       std::size_t max_waiting)
    : loop(loop), fleet(fleet), max_waiting(max_waiting) {
    fleet.on_change([this] { this->update_targets(); });
    this->update_targets();
}

local_reservations::~local_reservations() {
    for (auto& [id, state] : this->services)
        for (auto& request : state.queue)
            this->loop.cancel(request.timer);
}

void local_reservations::update_targets() {
    const auto index = this->fleet.index();
    if (index == nullptr)
        return;
    const auto now = this->loop.time().now();
    const auto factor = index->configuration().preset().load_multiple_factor;
    for (const auto& service : index->services()) {
        std::vector<admission::ledger_target> targets;
        for (const auto& view : this->fleet.targets(service.id))
            targets.push_back({view.id, view.incarnation, service.definition->warm_capacity,
                               service.definition->cold_allowance, view.eligible});
        auto& state = this->services[service.id];
        state.ledger.set_load_multiple(service.definition->load_multiple * factor);
        state.ledger.set_targets(targets, now);
    }
    // Granting runs callbacks of requests, so the queues are served after this notification.
    this->loop.post([this] {
        std::vector<helpers::service_id> ids;
        for (const auto& [id, state] : this->services)
            ids.push_back(id);
        for (const auto id : ids)
            this->serve_queue(id);
    });
}

void local_reservations::reserve(admission::reservation_request request,
                                 std::function<void(admission::reservation_reply)> done) {
    auto& state = this->services[request.service];
    if (state.queue.empty()) {
        if (auto reply = this->try_grant(request)) {
            done(std::move(*reply));
            return;
        }
    }
    if (this->waiting_count >= this->max_waiting) {
        done(make_rejection(error_kind::queue_full, "too many requests wait for a target"));
        return;
    }
    const auto now = this->loop.time().now();
    const auto service = request.service;
    const auto id = request.request;
    const auto timeout = std::max(request.deadline - now, helpers::duration::zero());
    state.queue.push_back({std::move(request), std::move(done)});
    ++this->waiting_count;
    state.queue.back().timer =
        this->loop.schedule(timeout, [this, service, id] { this->expire(service, id); });
    // Requests ahead in the queue may wait for other targets than the candidates of this one.
    this->serve_queue(service);
}

std::optional<admission::reservation_reply>
local_reservations::try_grant(const admission::reservation_request& request) {
    const auto now = this->loop.time().now();
    auto& ledger = this->services[request.service].ledger;
    const auto target =
        ledger.try_reserve(request.candidates, request.cost_tokens, now, request.hints);
    if (!target)
        return std::nullopt;
    admission::reservation_reply reply;
    reply.granted = true;
    reply.issued = {++this->last_grant, *target, now + grant_validity};
    this->grants.emplace(reply.issued.id,
                         active_grant{request.service, *target, request.cost_tokens});
    return reply;
}

void local_reservations::serve_queue(helpers::service_id service) {
    auto& queue = this->services[service].queue;
    auto next = queue.begin();
    while (next != queue.end()) {
        auto reply = this->try_grant(next->request);
        if (!reply) {
            ++next;
            continue;
        }
        this->loop.cancel(next->timer);
        const auto done = std::move(next->done);
        queue.erase(next);
        --this->waiting_count;
        done(std::move(*reply));
        // The callback may have changed the queue and invalidated the iterator.
        next = queue.begin();
    }
}

void local_reservations::expire(helpers::service_id service, const helpers::request_id& request) {
    auto& queue = this->services[service].queue;
    const auto it = std::find_if(queue.begin(), queue.end(), [&](const waiting_request& waiting) {
        return waiting.request.request == request;
    });
    if (it == queue.end())
        return;
    const auto done = std::move(it->done);
    queue.erase(it);
    --this->waiting_count;
    done(make_rejection(error_kind::deadline_exceeded,
                        "no target had a free slot before the deadline"));
}

void local_reservations::cancel(const helpers::request_id& request) {
    for (auto& [id, state] : this->services) {
        const auto it = std::find_if(
            state.queue.begin(), state.queue.end(),
            [&](const waiting_request& waiting) { return waiting.request.request == request; });
        if (it == state.queue.end())
            continue;
        this->loop.cancel(it->timer);
        state.queue.erase(it);
        --this->waiting_count;
        return;
    }
}

void local_reservations::finish(const admission::release& ended) {
    const auto it = this->grants.find(ended.id);
    if (it == this->grants.end())
        return;
    const auto grant = it->second;
    this->grants.erase(it);
    this->services[grant.service].ledger.finish(grant.target, grant.cost_tokens, ended.how,
                                                ended.first_byte, this->loop.time().now());
    this->serve_queue(grant.service);
}

} // namespace samphirespool::router
