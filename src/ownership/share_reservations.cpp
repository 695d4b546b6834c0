// Asks the owners of a request's candidates.
#include "ownership/share_reservations.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::ownership {

share_reservations::~share_reservations() {
    for (const auto& [id, waiting] : this->pending)
        this->loop.cancel(waiting.timeout);
}

void share_reservations::reserve(admission::reservation_request request,
                                 std::function<void(admission::reservation_reply)> done) {
    const auto id = request.request;
    auto groups = this->group_candidates(request.candidates);
    if (groups.empty()) {
        done({false, {}, {kernel::error_kind::no_target, "no candidate is known"}});
        return;
    }
    auto& fresh = this->pending[id];
    fresh.groups = std::move(groups);
    fresh.may_wait = fresh.groups.size() == 1;
    fresh.done = std::move(done);
    const auto left =
        std::max(helpers::duration::zero(), request.deadline - this->loop.time().now());
    fresh.request = std::move(request);
    fresh.timeout = this->loop.schedule(left, [this, id] {
        this->refuse(id, {kernel::error_kind::deadline_exceeded, "no target had room in time"});
    });
    this->ask(fresh);
}

std::vector<share_reservations::candidate_group>
share_reservations::group_candidates(std::span<const helpers::target_id> ids) const {
    std::vector<candidate_group> groups;
    for (const auto target : ids) {
        const auto shard = this->manager.shard_of(target);
        if (!shard)
            continue;
        auto found = std::find_if(groups.begin(), groups.end(),
                                  [&](const auto& group) { return group.shard == *shard; });
        if (found == groups.end())
            found = groups.insert(groups.end(), {*shard, {}});
        found->candidates.push_back(target);
    }
    return groups;
}

void share_reservations::ask(pending_request& asking) {
    const auto id = asking.request.request;
    const auto& group = asking.groups[asking.group];
    reservation fresh;
    fresh.request.shard = group.shard;
    fresh.request.cost = asking.request.cost_tokens;
    fresh.request.may_wait = asking.may_wait;
    fresh.request.candidates = group.candidates;
    fresh.request.hints = asking.request.hints;
    fresh.deadline = asking.request.deadline;
    fresh.listener.on_grant = [this, id](const grant_item& item) { this->on_grant(id, item); };
    fresh.listener.on_full = [this, id](const no_capacity_item& item) { this->on_full(id, item); };
    asking.number = this->manager.start(std::move(fresh));
}

void share_reservations::on_grant(const helpers::request_id& id, const grant_item& item) {
    const auto found = this->pending.find(id);
    if (found == this->pending.end() || found->second.number != item.number)
        return;
    const auto granted = this->pending.extract(found);
    const auto& waiting = granted.mapped();
    this->loop.cancel(waiting.timeout);
    const auto send_before =
        std::min(waiting.request.deadline, this->loop.time().now() + this->timing.send_within);
    waiting.done({true, {item.number, item.target, send_before}, {}});
}

// Asks the next group; after the last one the request waits at the first.
void share_reservations::on_full(const helpers::request_id& id, const no_capacity_item& item) {
    const auto found = this->pending.find(id);
    if (found == this->pending.end() || found->second.number != item.number || item.queued)
        return;
    auto& asking = found->second;
    if (asking.may_wait) {
        this->refuse(id, {kernel::error_kind::queue_full, "too many requests wait for the target"});
        return;
    }
    this->manager.finish(asking.number, admission::release::result::not_sent, {});
    asking.group = (asking.group + 1) % asking.groups.size();
    asking.may_wait = asking.group == 0;
    this->ask(asking);
}

void share_reservations::cancel(const helpers::request_id& request) {
    const auto found = this->pending.find(request);
    if (found == this->pending.end())
        return;
    this->loop.cancel(found->second.timeout);
    this->manager.finish(found->second.number, admission::release::result::not_sent, {});
    this->pending.erase(found);
}

void share_reservations::refuse(const helpers::request_id& id, kernel::error reason) {
    const auto found = this->pending.find(id);
    if (found == this->pending.end())
        return;
    const auto done = std::move(found->second.done);
    this->cancel(id);
    done({false, {}, std::move(reason)});
}

void share_reservations::finish(const admission::release& ended) {
    this->manager.finish(ended.id, ended.how, ended.first_byte);
}

} // namespace samphirespool::ownership
