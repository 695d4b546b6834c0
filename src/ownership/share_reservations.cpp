// Tries the owners of a request's candidates in order.
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
        done(
            {false, {}, {kernel::error_kind::no_target, "none of the candidate targets is known"}});
        return;
    }
    auto& pending_entry = this->pending[id];
    pending_entry.groups = std::move(groups);
    pending_entry.may_wait = pending_entry.groups.size() == 1;
    pending_entry.done = std::move(done);
    const auto remaining =
        std::max(helpers::duration::zero(), request.deadline - this->loop.time().now());
    pending_entry.request = std::move(request);
    pending_entry.timeout = this->loop.schedule(remaining, [this, id] {
        this->reject(id, {kernel::error_kind::deadline_exceeded,
                          "no target had capacity before the deadline"});
    });
    this->request_grant(pending_entry);
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

void share_reservations::request_grant(pending_request& pending_entry) {
    const auto id = pending_entry.request.request;
    const auto& group = pending_entry.groups[pending_entry.group_index];
    reservation added;
    added.request.shard = group.shard;
    added.request.cost = pending_entry.request.cost_tokens;
    added.request.may_wait = pending_entry.may_wait;
    added.request.candidates = group.candidates;
    added.request.hints = pending_entry.request.hints;
    added.deadline = pending_entry.request.deadline;
    added.listener.on_grant = [this, id](const grant_item& item) { this->on_grant(id, item); };
    added.listener.on_no_capacity = [this, id](const no_capacity_item& item) {
        this->on_no_capacity(id, item);
    };
    pending_entry.number = this->manager.start(std::move(added));
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

// Tries the next group; after the last one the request waits at the first.
void share_reservations::on_no_capacity(const helpers::request_id& id,
                                        const no_capacity_item& item) {
    const auto found = this->pending.find(id);
    if (found == this->pending.end() || found->second.number != item.number || item.queued)
        return;
    auto& pending_entry = found->second;
    if (pending_entry.may_wait) {
        this->reject(
            id, {kernel::error_kind::queue_full, "too many requests already wait for the target"});
        return;
    }
    this->manager.finish(pending_entry.number, admission::release::result::not_sent, {});
    pending_entry.group_index = (pending_entry.group_index + 1) % pending_entry.groups.size();
    pending_entry.may_wait = pending_entry.group_index == 0;
    this->request_grant(pending_entry);
}

void share_reservations::cancel(const helpers::request_id& request) {
    const auto found = this->pending.find(request);
    if (found == this->pending.end())
        return;
    this->loop.cancel(found->second.timeout);
    this->manager.finish(found->second.number, admission::release::result::not_sent, {});
    this->pending.erase(found);
}

void share_reservations::reject(const helpers::request_id& id, kernel::error reason) {
    const auto found = this->pending.find(id);
    if (found == this->pending.end())
        return;
    const auto done = std::move(found->second.done);
    this->cancel(id);
    done({false, {}, std::move(reason)});
}

void share_reservations::finish(const admission::release& released) {
    this->manager.finish(released.id, released.how, released.first_byte);
}

} // namespace samphirespool::ownership
