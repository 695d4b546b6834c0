// Collects the status from the services of the router.
#include "router/fleet_status.hpp"

namespace samphirespool::router {

namespace {

// A failed health takes precedence over the state that the member announced.
std::string_view state_name(const membership::member& member) {
    switch (member.record.health) {
    case membership::member_health::suspect:
        return "suspect";
    case membership::member_health::dead:
        return "dead";
    case membership::member_health::stopped:
        return "gone";
    case membership::member_health::left:
        return "left";
    case membership::member_health::alive:
        break;
    }
    switch (member.record.state) {
    case membership::member_state::joining:
        return "joining";
    case membership::member_state::leaving:
        return "leaving";
    case membership::member_state::ready:
        break;
    }
    return "ready";
}

bool is_leaving(const std::map<std::string, config::mark, std::less<>>& marks,
                std::string_view name) {
    const auto it = marks.find(name);
    return it != marks.end() && it->second.state == config::mark_state::leaving;
}

} // namespace

fleet_status::fleet_status(const status_sources& sources)
    : sources(sources), started_at(sources.time.now()) {}

admin::router_status fleet_status::status() const {
    const auto& server = this->sources.path.server();
    admin::router_status result;
    result.name = this->sources.settings.name;
    result.data_centre = this->sources.settings.data_centre;
    result.region = this->sources.settings.region;
    result.software_version = SAMPHIRESPOOL_VERSION;
    result.incarnation = this->sources.self.incarnation.value;
    result.uptime = this->sources.time.now() - this->started_at;
    result.ready = server.handler().is_ready();
    result.shutting_down = server.handler().is_shutting_down();
    result.store_reachable = this->sources.store.reachable();
    result.requests_queued = this->sources.path.queue().waiting();
    result.requests_in_flight = server.handler().requests_in_progress();
    result.members_alive = this->sources.members.live_count();
    result.roster_version = this->sources.members.roster().current().version;
    return result;
}

std::vector<admin::member_status> fleet_status::members() const {
    std::vector<admin::member_status> result;
    for (const auto& [id, member] : this->sources.members.view().members()) {
        const auto& record = member.record;
        result.push_back({record.name, record.address, record.data_centre, record.region,
                          std::string(state_name(member)), record.incarnation.value,
                          member.configuration});
    }
    return result;
}

std::vector<admin::target_status> fleet_status::targets() const {
    std::vector<admin::target_status> result;
    for (const auto& vm : this->sources.fleet.vms())
        for (const auto& target : vm.targets)
            result.push_back(this->status_of(vm, target));
    return result;
}

admin::target_status fleet_status::status_of(const helpers::vm_entry& vm,
                                             const helpers::target_entry& target) const {
    const auto id = helpers::id_of<helpers::target_id>(target.name);
    admin::target_status result;
    result.name = target.name;
    result.service = target.service;
    result.vm = vm.name;
    result.data_centre = vm.data_centre;
    result.region = vm.region;
    result.address = target.address;
    result.incarnation = target.incarnation;
    const auto* view = this->sources.fleet.find(id);
    result.eligible = view != nullptr && view->eligible;
    if (!result.eligible)
        result.reason = this->ineligible_reason(vm);
    this->add_load(result, id);
    return result;
}

void fleet_status::add_load(admin::target_status& result, helpers::target_id target) const {
    const auto& shares = this->sources.shares.shares();
    const auto shard = shares.shard_of(target);
    if (!shard)
        return;
    if (const auto followed = shares.followed_owner(*shard))
        result.owner = this->name_of(*followed);
    if (const auto* owner = shares.owner_of(*shard)) {
        const auto& ledger = owner->targets();
        result.warm = ledger.warm(target);
        result.capacity = ledger.allowance(target);
        result.in_flight = ledger.in_flight(target);
    }
    if (const auto report = this->sources.shares.loads().last_report(target))
        result.reported_load = static_cast<double>(report->outstanding_tokens);
}

std::string fleet_status::ineligible_reason(const helpers::vm_entry& vm) const {
    const auto index = this->sources.fleet.index();
    if (index == nullptr)
        return "no configuration yet";
    if (is_leaving(index->configuration().data_centre_marks, vm.data_centre))
        return "data centre is leaving";
    if (vm.leaving || is_leaving(index->configuration().vm_marks, vm.name))
        return "VM is leaving";
    return "ejected";
}

std::string fleet_status::name_of(helpers::router_id id) const {
    const auto* member = this->sources.members.view().find(id);
    return member == nullptr ? std::string() : member->record.name;
}

} // namespace samphirespool::router
