// Grants from the ledgers and serves the queues in order of arrival.
#include "router/local_reservation.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::router {

namespace {

using kernel::error_kind;

// How long a grant may wait before the request is sent.
constexpr auto grant_validity = std::chrono::seconds(2);

admission::reservation_reply refusal(error_kind kind, std::string detail) {
    admission::reservation_reply answer;
    answer.rejection = {kind, std::move(detail)};
    return answer;
}

} // namespace

local_reservation::local_reservation(kernel::loop& loop, fleet_view& fleet, std::size_t max_waiting)
    : loop(loop), fleet(fleet), max_waiting(max_waiting) {
    fleet.on_change([this] { this->refresh(); });
    this->refresh();
}

local_reservation::~local_reservation() {
    for (auto& [id, state] : this->services)
        for (auto& each : state.queue)
            this->loop.cancel(each.timer);
}

void local_reservation::refresh() {
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
    // Grants run callers' work, so the queues are served outside of the notification.
    this->loop.post([this] {
        std::vector<helpers::service_id> ids;
        for (const auto& [id, state] : this->services)
            ids.push_back(id);
        for (const auto id : ids)
            this->serve_queue(id);
    });
}

void local_reservation::reserve(admission::reservation_request request,
                                std::function<void(admission::reservation_reply)> done) {
    auto& state = this->services[request.service];
    if (state.queue.empty()) {
        if (auto answer = this->try_grant(request)) {
            done(std::move(*answer));
            return;
        }
    }
    if (this->waiting_count >= this->max_waiting) {
        done(refusal(error_kind::queue_full, "too many requests wait here"));
        return;
    }
    const auto now = this->loop.time().now();
    const auto service = request.service;
    const auto id = request.request;
    const auto wait = std::max(request.deadline - now, helpers::duration::zero());
    state.queue.push_back({std::move(request), std::move(done)});
    ++this->waiting_count;
    state.queue.back().timer =
        this->loop.schedule(wait, [this, service, id] { this->expire(service, id); });
    // Those in front may wait for other targets than this request needs.
    this->serve_queue(service);
}

std::optional<admission::reservation_reply>
local_reservation::try_grant(const admission::reservation_request& request) {
    const auto now = this->loop.time().now();
    auto& ledger = this->services[request.service].ledger;
    const auto target =
        ledger.try_reserve(request.candidates, request.cost_tokens, now, request.hints);
    if (!target)
        return std::nullopt;
    admission::reservation_reply answer;
    answer.granted = true;
    answer.issued = {++this->last_grant, *target, now + grant_validity};
    this->grants.emplace(answer.issued.id,
                         held_grant{request.service, *target, request.cost_tokens});
    return answer;
}

void local_reservation::serve_queue(helpers::service_id service) {
    auto& queue = this->services[service].queue;
    auto next = queue.begin();
    while (next != queue.end()) {
        auto answer = this->try_grant(next->request);
        if (!answer) {
            ++next;
            continue;
        }
        this->loop.cancel(next->timer);
        const auto done = std::move(next->done);
        queue.erase(next);
        --this->waiting_count;
        done(std::move(*answer));
        // The callback may have changed the queue.
        next = queue.begin();
    }
}

void local_reservation::expire(helpers::service_id service, const helpers::request_id& request) {
    auto& queue = this->services[service].queue;
    const auto found = std::find_if(queue.begin(), queue.end(), [&](const waiting& each) {
        return each.request.request == request;
    });
    if (found == queue.end())
        return;
    const auto done = std::move(found->done);
    queue.erase(found);
    --this->waiting_count;
    done(refusal(error_kind::deadline_exceeded, "no target had room before the deadline"));
}

void local_reservation::cancel(const helpers::request_id& request) {
    for (auto& [id, state] : this->services) {
        const auto found =
            std::find_if(state.queue.begin(), state.queue.end(),
                         [&](const waiting& each) { return each.request.request == request; });
        if (found == state.queue.end())
            continue;
        this->loop.cancel(found->timer);
        state.queue.erase(found);
        --this->waiting_count;
        return;
    }
}

void local_reservation::finish(const admission::release& ended) {
    const auto found = this->grants.find(ended.id);
    if (found == this->grants.end())
        return;
    const auto grant = found->second;
    this->grants.erase(found);
    this->services[grant.service].ledger.finish(grant.target, grant.cost_tokens, ended.how,
                                                ended.first_byte, this->loop.time().now());
    this->serve_queue(grant.service);
}

} // namespace samphirespool::router
