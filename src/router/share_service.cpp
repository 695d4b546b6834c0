// Connects the share manager to the fleet's targets, the roster and the transport.
#include "router/share_service.hpp"

#include <map>

namespace samphirespool::router {

namespace {

// Groups the targets of a service by region. `multiple_factor` scales the load multiple.
std::map<helpers::region_id, ownership::service_targets>
by_region(const indexed_service& service, std::span<const placement::target_view> targets,
          double multiple_factor) {
    std::map<helpers::region_id, ownership::service_targets> result;
    const auto& definition = *service.definition;
    for (const auto& target : targets) {
        auto& group = result[target.region];
        group.service = service.id;
        group.region = target.region;
        group.shards = definition.shards;
        group.load_multiple = definition.load_multiple * multiple_factor;
        group.targets.push_back({target.id, target.incarnation, definition.warm_capacity,
                                 definition.cold_allowance, target.eligible});
    }
    return result;
}

} // namespace

share_service::share_service(kernel::loop& loop, wire::peer_transport& transport,
                             membership_service& members, fleet_view& fleet, http::client& targets)
    : fleet(fleet),
      outbox(transport),
      manager(loop, members.view(), this->outbox),
      reservation_queue(loop, this->manager),
      poller(
          loop, targets, [this] { return this->owned_targets(); },
          [this](auto target, const auto& report) {
              this->manager.on_load_report(target, report);
          }) {
    transport.set_receiver(wire::frame_kind::shares, [this](const auto&, auto payload) {
        if (const auto received = wire::decode_shares(payload))
            this->manager.on_message(*received);
    });
    members.roster().on_change(
        [this, &members] { this->manager.set_roster(members.roster().current()); });
    members.roster().confirm_when([this] { return this->manager.ready_for_roster(); });
    this->manager.set_roster(members.roster().current());
    fleet.on_change([this] { this->update_targets(); });
    this->update_targets();
}

void share_service::update_targets() {
    const auto index = this->fleet.index();
    if (index == nullptr)
        return;
    const auto factor = index->configuration().preset().load_multiple_factor;
    std::vector<ownership::service_targets> services;
    for (const auto& service : index->services())
        for (auto& [region, group] : by_region(service, this->fleet.targets(service.id), factor))
            services.push_back(std::move(group));
    this->manager.set_services(services);
}

std::vector<polled_target> share_service::owned_targets() const {
    std::vector<polled_target> result;
    for (const auto id : this->manager.owned_targets())
        if (const auto* target = this->fleet.find(id))
            result.push_back({id, target->address});
    return result;
}

} // namespace samphirespool::router
