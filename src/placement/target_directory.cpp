// Merges VM list, marks and ejections into target views.
#include "placement/target_directory.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::placement {

namespace {

helpers::wall_milliseconds milliseconds_of(helpers::duration length) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

const config::mark* find_mark(const std::map<std::string, config::mark, std::less<>>& marks,
                              std::string_view name) {
    const auto found = marks.find(name);
    return found == marks.end() ? nullptr : &found->second;
}

bool equal_without_load(const target_view& left, const target_view& right) {
    return left.id == right.id && left.vm == right.vm && left.data_centre == right.data_centre &&
           left.region == right.region && left.address == right.address &&
           left.incarnation == right.incarnation && left.weight == right.weight &&
           left.eligible == right.eligible;
}

} // namespace

void target_directory::set_vms(std::span<const helpers::vm_entry> listed,
                               helpers::wall_milliseconds now) {
    this->vms.assign(listed.begin(), listed.end());
    this->rebuild(now);
}

void target_directory::set_marks(const config::fleet_configuration& configuration,
                                 helpers::wall_milliseconds now) {
    this->data_centre_marks = configuration.data_centre_marks;
    this->vm_marks = configuration.vm_marks;
    this->rebuild(now);
}

void target_directory::set_ejected(std::unordered_set<helpers::target_id> targets,
                                   helpers::wall_milliseconds now) {
    this->ejected = std::move(targets);
    this->rebuild(now);
}

void target_directory::advance(helpers::wall_milliseconds now) {
    const auto due = this->next_change();
    if (due && *due <= now)
        this->rebuild(now);
}

std::optional<helpers::wall_milliseconds> target_directory::next_change() const {
    const auto slice = milliseconds_of(this->schedule.length) / this->schedule.slices;
    std::optional<helpers::wall_milliseconds> earliest;
    const auto consider = [&](const config::mark& mark) {
        if (mark.state != config::mark_state::returning)
            return;
        const auto elapsed =
            std::max<helpers::wall_milliseconds>(0, this->last_rebuild - mark.since);
        const auto next = elapsed / slice + 1;
        if (next >= this->schedule.slices)
            return;
        const auto due = mark.since + next * slice;
        earliest = earliest ? std::min(*earliest, due) : due;
    };
    for (const auto& [name, mark] : this->data_centre_marks)
        consider(mark);
    for (const auto& [name, mark] : this->vm_marks)
        consider(mark);
    return earliest;
}

target_directory::availability
target_directory::availability_of(const config::mark* mark, helpers::wall_milliseconds now) const {
    if (mark == nullptr)
        return {};
    if (mark->state == config::mark_state::leaving)
        return {false, 1};
    const auto slice = milliseconds_of(this->schedule.length) / this->schedule.slices;
    const auto elapsed = std::max<helpers::wall_milliseconds>(0, now - mark->since);
    const auto returned_slices =
        std::min<helpers::wall_milliseconds>(elapsed / slice + 1, this->schedule.slices);
    return {true, static_cast<double>(returned_slices) / this->schedule.slices};
}

target_directory::availability
target_directory::availability_of(const helpers::vm_entry& vm,
                                  helpers::wall_milliseconds now) const {
    const auto data_centre_state =
        this->availability_of(find_mark(this->data_centre_marks, vm.data_centre), now);
    const auto vm_state = this->availability_of(find_mark(this->vm_marks, vm.name), now);
    return {!vm.leaving && data_centre_state.eligible && vm_state.eligible,
            std::min(data_centre_state.weight, vm_state.weight)};
}

void target_directory::add(const helpers::vm_entry& vm, const helpers::target_entry& target,
                           availability state) {
    const auto service = helpers::id_of<helpers::service_id>(target.service);
    target_view view;
    view.id = helpers::id_of<helpers::target_id>(target.name);
    view.vm = helpers::id_of<helpers::vm_id>(vm.name);
    view.data_centre = helpers::id_of<helpers::data_centre_id>(vm.data_centre);
    view.region = helpers::id_of<helpers::region_id>(vm.region);
    view.address = target.address;
    view.incarnation = target.incarnation;
    view.weight = state.weight;
    view.eligible = state.eligible && !this->ejected.contains(view.id);
    this->views[service].push_back(std::move(view));
}

void target_directory::rebuild(helpers::wall_milliseconds now) {
    const auto before = std::exchange(this->views, {});
    this->positions.clear();
    this->last_rebuild = now;
    for (const auto& vm : this->vms) {
        const auto state = this->availability_of(vm, now);
        for (const auto& target : vm.targets)
            this->add(vm, target, state);
    }
    for (auto& [service, list] : this->views) {
        // A target that is listed twice has moved or restarted: keep the latest incarnation.
        std::ranges::sort(list, [](const target_view& left, const target_view& right) {
            return left.id != right.id ? left.id < right.id : left.incarnation > right.incarnation;
        });
        const auto same_id = [](const target_view& left, const target_view& right) {
            return left.id == right.id;
        };
        list.erase(std::unique(list.begin(), list.end(), same_id), list.end());
        for (std::size_t i = 0; i < list.size(); ++i)
            this->positions[list[i].id] = {service, i};
    }
    const bool unchanged =
        std::ranges::equal(before, this->views, [](const auto& left, const auto& right) {
            return left.first == right.first &&
                   std::ranges::equal(left.second, right.second, equal_without_load);
        });
    if (!unchanged)
        ++this->current_generation;
}

std::span<const target_view> target_directory::targets(helpers::service_id service) const {
    const auto found = this->views.find(service);
    return found == this->views.end() ? std::span<const target_view>() : found->second;
}

const target_view* target_directory::find(helpers::target_id target) const {
    const auto found = this->positions.find(target);
    if (found == this->positions.end())
        return nullptr;
    return &this->views.at(found->second.service)[found->second.index];
}

std::optional<helpers::service_id> target_directory::service_of(helpers::target_id target) const {
    const auto found = this->positions.find(target);
    if (found == this->positions.end())
        return std::nullopt;
    return found->second.service;
}

std::vector<helpers::service_id> target_directory::services() const {
    std::vector<helpers::service_id> result;
    for (const auto& [service, list] : this->views)
        result.push_back(service);
    return result;
}

} // namespace samphirespool::placement
