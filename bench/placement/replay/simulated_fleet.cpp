// Fleet states, the routers' views and the owners' ledgers.
#include "bench/placement/replay/simulated_fleet.hpp"

#include <algorithm>

namespace samphirespool::replay {

namespace {

// Offset of all times of a replay, so that none is near the epoch.
constexpr double start_seconds = 1000;

helpers::region_id region_id_of(std::uint32_t region) {
    return helpers::id_of<helpers::region_id>("region-" + std::to_string(region));
}

} // namespace

helpers::time_point to_time(double seconds) {
    const auto since = std::chrono::duration<double>(start_seconds + seconds);
    return helpers::time_point(std::chrono::duration_cast<helpers::duration>(since));
}

helpers::wall_milliseconds to_wall(double seconds) {
    return static_cast<helpers::wall_milliseconds>((start_seconds + seconds) * 1000);
}

simulated_fleet::simulated_fleet(const trace& replayed_trace,
                                 const strategy_factory& create_strategy, double load_multiple)
    : replayed_trace(replayed_trace),
      create_strategy(create_strategy),
      drained(replayed_trace.data_centres, false) {
    const auto classes = std::min<std::size_t>(view_classes, replayed_trace.routers);
    for (std::uint32_t service = 0; service < replayed_trace.services.size(); ++service) {
        const auto& shape = replayed_trace.services[service];
        this->engines.emplace_back(shape.targets, engine{prefix_cache(shape.cache_tokens)});
        for (std::uint32_t number = 0; number < shape.targets; ++number)
            this->places[this->id_of({service, number})] = {service, number};
        this->ledgers.emplace_back(replayed_trace.regions, admission::target_ledger(load_multiple));
    }
    const placement::return_schedule schedule{
        std::chrono::duration_cast<helpers::duration>(
            std::chrono::duration<double>(replayed_trace.return_seconds)),
        10};
    this->owners_directory = placement::target_directory(schedule);
    for (std::size_t i = 0; i < classes; ++i) {
        view new_view{placement::target_directory(schedule)};
        new_view.lag_seconds =
            replayed_trace.view_lag_seconds * static_cast<double>(i) / static_cast<double>(classes);
        new_view.service_views.resize(replayed_trace.services.size());
        for (std::uint32_t service = 0; service < replayed_trace.services.size(); ++service)
            for (std::uint32_t region = 0; region < replayed_trace.regions; ++region)
                new_view.service_views[service].push_back({{}, this->create_strategy(*this)});
        this->views.push_back(std::move(new_view));
    }
    const auto initial_state = this->snapshot_state();
    for (std::size_t i = 0; i < classes; ++i)
        this->update_view(i, *initial_state, 0);
    this->update_owners(*initial_state, 0);
    for (const auto& [id, place] : this->places)
        this->ledger(place.service, this->region_of(place))
            .restore_allowance(id, 1, replayed_trace.services[place.service].warm_capacity,
                               to_time(0));
}

std::string simulated_fleet::name_of(target_place place) const {
    return this->replayed_trace.services[place.service].name + "-" + std::to_string(place.number);
}

helpers::target_id simulated_fleet::id_of(target_place place) const {
    return helpers::id_of<helpers::target_id>(this->name_of(place));
}

std::uint32_t simulated_fleet::data_centre_of(target_place place) const {
    return place.number % this->replayed_trace.data_centres;
}

std::uint32_t simulated_fleet::region_of(target_place place) const {
    return this->data_centre_of(place) % this->replayed_trace.regions;
}

std::uint32_t simulated_fleet::targets_of(std::uint32_t service) const {
    return static_cast<std::uint32_t>(this->engines[service].size());
}

std::shared_ptr<const simulated_fleet::fleet_state> simulated_fleet::snapshot_state() const {
    auto current_state = std::make_shared<fleet_state>();
    current_state->configuration = this->configuration;
    for (std::uint32_t service = 0; service < this->engines.size(); ++service)
        for (std::uint32_t number = 0; number < this->engines[service].size(); ++number) {
            const target_place place{service, number};
            const auto& target_engine = this->engine_at(place);
            if (!target_engine.running)
                continue;
            helpers::vm_entry vm;
            vm.name = "vm-" + this->name_of(place);
            vm.data_centre = "centre-" + std::to_string(this->data_centre_of(place));
            vm.region = "region-" + std::to_string(this->region_of(place));
            vm.targets.push_back({this->name_of(place),
                                  this->replayed_trace.services[service].name,
                                  {},
                                  target_engine.incarnation});
            current_state->vms.push_back(std::move(vm));
        }
    return current_state;
}

void simulated_fleet::mark(std::uint32_t data_centre, config::mark_state state, double now) {
    this->configuration.data_centre_marks["centre-" + std::to_string(data_centre)] = {state,
                                                                                      to_wall(now)};
    this->drained[data_centre] = state == config::mark_state::leaving;
}

void simulated_fleet::update_view(std::size_t view_class, const fleet_state& state, double now) {
    auto& updated = this->views[view_class];
    const auto before = updated.directory.generation();
    updated.directory.set_vms(state.vms, to_wall(now));
    updated.directory.set_marks(state.configuration, to_wall(now));
    if (updated.directory.generation() != before)
        this->rebuild(updated);
}

void simulated_fleet::rebuild(view& changed) {
    for (std::uint32_t service = 0; service < this->engines.size(); ++service) {
        const auto id =
            helpers::id_of<helpers::service_id>(this->replayed_trace.services[service].name);
        const auto all = changed.directory.targets(id);
        for (std::uint32_t region = 0; region < this->replayed_trace.regions; ++region) {
            auto& service_view = changed.service_views[service][region];
            service_view.targets.clear();
            std::ranges::copy_if(
                all, std::back_inserter(service_view.targets),
                [&](const auto& target) { return target.region == region_id_of(region); });
            service_view.strategy->rebuild(service_view.targets);
        }
    }
}

void simulated_fleet::update_owners(const fleet_state& state, double now) {
    this->owners_directory.set_vms(state.vms, to_wall(now));
    this->owners_directory.set_marks(state.configuration, to_wall(now));
    for (std::uint32_t service = 0; service < this->engines.size(); ++service) {
        const auto& shape = this->replayed_trace.services[service];
        std::vector<std::vector<admission::ledger_target>> listed(this->replayed_trace.regions);
        const auto id = helpers::id_of<helpers::service_id>(shape.name);
        for (const auto& target : this->owners_directory.targets(id))
            listed[this->region_of(this->place_of(target.id))].push_back(
                {target.id, target.incarnation, shape.warm_capacity, shape.cold_allowance,
                 target.eligible});
        for (std::uint32_t region = 0; region < this->replayed_trace.regions; ++region)
            this->ledgers[service][region].set_targets(listed[region], to_time(now));
    }
}

void simulated_fleet::advance(double now) {
    for (auto& each : this->views) {
        const auto before = each.directory.generation();
        each.directory.advance(to_wall(now));
        if (each.directory.generation() != before)
            this->rebuild(each);
    }
}

} // namespace samphirespool::replay
