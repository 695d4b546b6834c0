// Carries reports and shares of the limits between routers.
#include "router/limit_service.hpp"

#include "router/limits_in_force.hpp"

namespace samphirespool::router {

limit_service::limit_service(kernel::loop& loop, wire::peer_transport& transport,
                             membership_service& members, fleet_view& fleet, turn_queue& turns)
    : loop(loop), transport(transport), members(members.view()), fleet(fleet), turns(turns) {
    transport.set_receiver(wire::frame_kind::limits, [this](const auto& from, auto payload) {
        if (const auto received = wire::decode_limits(payload))
            this->receive(from, *received);
    });
    members.view().on_change(
        [this](helpers::router_id, const membership::member*) { this->refresh_routers(); });
    fleet.on_change([this] { this->refresh_limits(); });
    turns.set_reports(this);
    this->refresh_routers();
    this->refresh_limits();
}

void limit_service::refresh_routers() {
    this->routers.clear();
    for (const auto& [id, member] : this->members.members())
        if (member.is_live())
            this->routers.push_back(id);
    this->owner.set_routers(this->routers.size());
    this->turns.limits().set_routers(this->routers.size());
}

void limit_service::refresh_limits() {
    const auto index = this->fleet.index();
    if (index == nullptr)
        return;
    for (const auto& each : limits_in_force(index->configuration()))
        this->owner.set_limit(each.organisation, each.limit);
}

void limit_service::send(const admission::usage_report& report) {
    if (this->routers.empty())
        return;
    const auto id = admission::limit_owner_of(report.organisation, this->routers);
    const auto now = this->loop.time().now();
    if (id == this->members.self().id) {
        this->turns.limits().apply(this->owner.report(report, now), now);
        return;
    }
    if (const auto* found = this->members.find(id))
        this->transport.send(found->record.address, wire::frame_kind::limits,
                             wire::encode_limits({{report}, {}}));
}

void limit_service::receive(const helpers::endpoint& from, const wire::limits_message& message) {
    const auto now = this->loop.time().now();
    for (const auto& share : message.shares)
        this->turns.limits().apply(share, now);
    wire::limits_message answer;
    for (const auto& report : message.reports)
        answer.shares.push_back(this->owner.report(report, now));
    if (!answer.shares.empty())
        this->transport.send(from, wire::frame_kind::limits, wire::encode_limits(answer));
}

} // namespace samphirespool::router
