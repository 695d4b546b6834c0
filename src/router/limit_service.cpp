// Exchanges usage reports and shares of limits with other routers.
#include "router/limit_service.hpp"

#include "router/effective_limits.hpp"

namespace samphirespool::router {

limit_service::limit_service(kernel::loop& loop, wire::peer_transport& transport,
                             membership_service& members, fleet_view& fleet, request_queue& queue)
    : loop(loop), transport(transport), members(members.view()), fleet(fleet), queue(queue) {
    transport.set_receiver(wire::frame_kind::limits, [this](const auto& from, auto payload) {
        if (const auto received = wire::decode_limits(payload))
            this->receive(from, *received);
    });
    members.view().on_change(
        [this](helpers::router_id, const membership::member*) { this->update_routers(); });
    fleet.on_change([this] { this->update_limits(); });
    queue.set_report_sender(this);
    this->update_routers();
    this->update_limits();
}

void limit_service::update_routers() {
    this->routers.clear();
    for (const auto& [id, member] : this->members.members())
        if (member.is_live())
            this->routers.push_back(id);
    this->owner.set_routers(this->routers.size());
    this->queue.limits().set_routers(this->routers.size());
}

void limit_service::update_limits() {
    const auto index = this->fleet.index();
    if (index == nullptr)
        return;
    for (const auto& effective : effective_limits(index->configuration()))
        this->owner.set_limit(effective.organisation, effective.limit);
}

void limit_service::send(const admission::usage_report& report) {
    if (this->routers.empty())
        return;
    const auto owner_id = admission::limit_owner_of(report.organisation, this->routers);
    const auto now = this->loop.time().now();
    if (owner_id == this->members.self().id) {
        this->queue.limits().apply(this->owner.report(report, now), now);
        return;
    }
    if (const auto* peer = this->members.find(owner_id))
        this->transport.send(peer->record.address, wire::frame_kind::limits,
                             wire::encode_limits({{report}, {}}));
}

void limit_service::receive(const helpers::endpoint& from, const wire::limits_message& message) {
    const auto now = this->loop.time().now();
    for (const auto& share : message.shares)
        this->queue.limits().apply(share, now);
    wire::limits_message reply;
    for (const auto& report : message.reports)
        reply.shares.push_back(this->owner.report(report, now));
    if (!reply.shares.empty())
        this->transport.send(from, wire::frame_kind::limits, wire::encode_limits(reply));
}

} // namespace samphirespool::router
