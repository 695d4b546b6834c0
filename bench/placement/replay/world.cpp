// Truth, views and ledgers.
#include "bench/placement/replay/world.hpp"

#include <algorithm>

namespace samphirespool::replay {

namespace {

// Replays start at this time, so that no time is near the epoch.
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

world::world(const trace& from, const strategy_maker& make, double load_multiple)
    : from(from), make(make), left(from.data_centres, false) {
    const auto classes = std::min<std::size_t>(view_classes, from.routers);
    for (std::uint32_t service = 0; service < from.services.size(); ++service) {
        const auto& shape = from.services[service];
        this->engines.emplace_back(shape.targets, engine{prefix_cache(shape.cache_tokens)});
        for (std::uint32_t number = 0; number < shape.targets; ++number)
            this->places[this->id_of({service, number})] = {service, number};
        this->ledgers.emplace_back(from.regions, admission::target_ledger(load_multiple));
    }
    const placement::return_schedule schedule{
        std::chrono::duration_cast<helpers::duration>(
            std::chrono::duration<double>(from.return_seconds)),
        10};
    this->owners_directory = placement::target_directory(schedule);
    for (std::size_t i = 0; i < classes; ++i) {
        view made{placement::target_directory(schedule)};
        made.lag_seconds =
            from.view_lag_seconds * static_cast<double>(i) / static_cast<double>(classes);
        made.parts.resize(from.services.size());
        for (std::uint32_t service = 0; service < from.services.size(); ++service)
            for (std::uint32_t region = 0; region < from.regions; ++region)
                made.parts[service].push_back({{}, this->make(*this)});
        this->views.push_back(std::move(made));
    }
    const auto known = this->state_truth();
    for (std::size_t i = 0; i < classes; ++i)
        this->learn(i, *known, 0);
    this->learn_as_owners(*known, 0);
    for (const auto& [id, place] : this->places)
        this->ledger(place.service, this->region_of(place))
            .restore_allowance(id, 1, from.services[place.service].warm_capacity, to_time(0));
}

std::string world::name_of(target_place place) const {
    return this->from.services[place.service].name + "-" + std::to_string(place.number);
}

helpers::target_id world::id_of(target_place place) const {
    return helpers::id_of<helpers::target_id>(this->name_of(place));
}

std::uint32_t world::data_centre_of(target_place place) const {
    return place.number % this->from.data_centres;
}

std::uint32_t world::region_of(target_place place) const {
    return this->data_centre_of(place) % this->from.regions;
}

std::uint32_t world::targets_of(std::uint32_t service) const {
    return static_cast<std::uint32_t>(this->engines[service].size());
}

std::shared_ptr<const world::truth> world::state_truth() const {
    auto stated = std::make_shared<truth>();
    stated->configuration = this->configuration;
    for (std::uint32_t service = 0; service < this->engines.size(); ++service)
        for (std::uint32_t number = 0; number < this->engines[service].size(); ++number) {
            const target_place place{service, number};
            const auto& real = this->at(place);
            if (!real.running)
                continue;
            helpers::vm_entry vm;
            vm.name = "vm-" + this->name_of(place);
            vm.data_centre = "centre-" + std::to_string(this->data_centre_of(place));
            vm.region = "region-" + std::to_string(this->region_of(place));
            vm.targets.push_back(
                {this->name_of(place), this->from.services[service].name, {}, real.incarnation});
            stated->vms.push_back(std::move(vm));
        }
    return stated;
}

void world::mark(std::uint32_t data_centre, config::mark_state state, double now) {
    this->configuration.data_centre_marks["centre-" + std::to_string(data_centre)] = {state,
                                                                                      to_wall(now)};
    this->left[data_centre] = state == config::mark_state::leaving;
}

void world::learn(std::size_t view_class, const truth& known, double now) {
    auto& learner = this->views[view_class];
    const auto before = learner.directory.generation();
    learner.directory.set_vms(known.vms, to_wall(now));
    learner.directory.set_marks(known.configuration, to_wall(now));
    if (learner.directory.generation() != before)
        this->rebuild(learner);
}

void world::rebuild(view& changed) {
    for (std::uint32_t service = 0; service < this->engines.size(); ++service) {
        const auto id = helpers::id_of<helpers::service_id>(this->from.services[service].name);
        const auto all = changed.directory.targets(id);
        for (std::uint32_t region = 0; region < this->from.regions; ++region) {
            auto& part = changed.parts[service][region];
            part.targets.clear();
            std::ranges::copy_if(all, std::back_inserter(part.targets), [&](const auto& target) {
                return target.region == region_id_of(region);
            });
            part.strategy->rebuild(part.targets);
        }
    }
}

void world::learn_as_owners(const truth& known, double now) {
    this->owners_directory.set_vms(known.vms, to_wall(now));
    this->owners_directory.set_marks(known.configuration, to_wall(now));
    for (std::uint32_t service = 0; service < this->engines.size(); ++service) {
        const auto& shape = this->from.services[service];
        std::vector<std::vector<admission::ledger_target>> listed(this->from.regions);
        const auto id = helpers::id_of<helpers::service_id>(shape.name);
        for (const auto& target : this->owners_directory.targets(id))
            listed[this->region_of(this->place_of(target.id))].push_back(
                {target.id, target.incarnation, shape.warm_capacity, shape.cold_allowance,
                 target.eligible});
        for (std::uint32_t region = 0; region < this->from.regions; ++region)
            this->ledgers[service][region].set_targets(listed[region], to_time(now));
    }
}

void world::advance(double now) {
    for (auto& each : this->views) {
        const auto before = each.directory.generation();
        each.directory.advance(to_wall(now));
        if (each.directory.generation() != before)
            this->rebuild(each);
    }
}

} // namespace samphirespool::replay
