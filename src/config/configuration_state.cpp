// Splits configurations into chunks, puts them together again, and evaluates changes.
#include "config/configuration_state.hpp"

#include "config/changes.hpp"
#include "config/checks.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::config {

namespace {

std::string chunk_name(std::size_t index, const writer_stamp& stamp) {
    return std::to_string(index) + "-" + stamp.writer + "-" + std::to_string(stamp.nonce);
}

// Chunks whose documents differ between the configurations.
std::vector<bool> differing_chunks(const fleet_configuration& before,
                                   const fleet_configuration& after) {
    std::vector<bool> result(chunk_count);
    result[0] = before.services != after.services || before.presets != after.presets;
    auto old_at = before.organisations.begin();
    auto new_at = after.organisations.begin();
    while (old_at != before.organisations.end() || new_at != after.organisations.end()) {
        const auto only_old =
            new_at == after.organisations.end() ||
            (old_at != before.organisations.end() && old_at->first < new_at->first);
        const auto only_new =
            !only_old && (old_at == before.organisations.end() || new_at->first < old_at->first);
        if (only_old || only_new || old_at->second != new_at->second)
            result[organisation_chunk(only_old ? old_at->first : new_at->first)] = true;
        if (!only_new)
            ++old_at;
        if (!only_old)
            ++new_at;
    }
    return result;
}

std::vector<document_set> group_documents(const fleet_configuration& configuration,
                                          const std::vector<bool>& wanted) {
    std::vector<document_set> result(chunk_count);
    if (wanted[0])
        result[0] = chunk_documents(configuration, 0);
    for (const auto& [name, each] : configuration.organisations) {
        const auto index = organisation_chunk(name);
        if (wanted[index])
            result[index].organisations.push_back(each);
    }
    return result;
}

void remember_change(stored_root& root, const std::string& request_id) {
    if (request_id.empty())
        return;
    root.recent[request_id] = root.version;
    if (root.recent.size() <= max_recent_changes)
        return;
    const auto older = [](const auto& a, const auto& b) { return a.second < b.second; };
    root.recent.erase(std::min_element(root.recent.begin(), root.recent.end(), older));
}

void settle(stored_root& root, mark_subject subject, const std::string& name,
            const std::string& own_id, const provisional_marks& known) {
    auto ids = known.ids_for(subject, name);
    if (!own_id.empty() && std::find(ids.begin(), ids.end(), own_id) == ids.end())
        ids.push_back(own_id);
    auto& settled = root.settled[settled_key(subject, name)];
    settled.insert(settled.end(), ids.begin(), ids.end());
    if (settled.size() > max_settled_marks)
        settled.erase(settled.begin(),
                      settled.end() - static_cast<std::ptrdiff_t>(max_settled_marks));
}

// Settles the provisional marks that the change takes into account, and its own id: its answer may
// be lost, and the mark be held as provisional although it was accepted.
void settle_marks(stored_root& root, const change_request& wanted, const provisional_marks& known) {
    if (const auto* data_centre = std::get_if<mark_data_centre>(&wanted.body))
        settle(root, mark_subject::data_centre, data_centre->name, wanted.request_id, known);
    if (const auto* vm = std::get_if<mark_vm>(&wanted.body))
        settle(root, mark_subject::vm, vm->name, wanted.request_id, known);
}

change_plan answered(change_status status, configuration_version version,
                     std::vector<kernel::error> faults = {}) {
    change_plan result;
    result.answer = change_result{status, version, std::move(faults)};
    return result;
}

stored_root next_root(const configuration_state& state, const fleet_configuration& changed,
                      const change_request& wanted, const provisional_marks& known,
                      const writer_stamp& stamp) {
    auto root = state.root;
    ++root.version;
    root.writer = stamp.writer;
    root.nonce = stamp.nonce;
    root.preset_in_force = changed.preset_in_force;
    root.data_centre_marks = changed.data_centre_marks;
    root.vm_marks = changed.vm_marks;
    remember_change(root, wanted.request_id);
    settle_marks(root, wanted, known);
    return root;
}

// Replaces the organisations of the chunk by those given.
void replace_chunk(fleet_configuration& configuration, std::size_t index, document_set&& by) {
    if (index == 0) {
        configuration.services.clear();
        configuration.presets.clear();
        for (auto& each : by.services)
            configuration.services.insert_or_assign(each.name, std::move(each));
        for (auto& each : by.presets)
            configuration.presets.insert_or_assign(each.name, std::move(each));
        return;
    }
    for (auto& each : by.organisations)
        if (organisation_chunk(each.name) == index)
            configuration.organisations.insert_or_assign(each.name, std::move(each));
}

void clear_chunks(fleet_configuration& configuration, const std::vector<std::size_t>& indices) {
    std::vector<bool> cleared(chunk_count);
    for (const auto index : indices)
        cleared[index] = true;
    std::erase_if(configuration.organisations, [&cleared](const auto& entry) {
        return cleared[organisation_chunk(entry.first)];
    });
}

void fill_plan(change_plan& plan, const fleet_configuration& before,
               const fleet_configuration& changed, const writer_stamp& stamp,
               std::vector<kernel::error>& faults) {
    const auto differing = differing_chunks(before, changed);
    auto groups = group_documents(changed, differing);
    for (std::size_t index = 0; index < chunk_count; ++index) {
        if (!differing[index])
            continue;
        const auto name = chunk_name(index, stamp);
        plan.next.root.chunks[index] = name;
        plan.chunks.push_back({std::string(chunk_prefix) + name, write_documents(groups[index])});
        if (plan.chunks.back().value.size() > max_object_bytes)
            faults.push_back({kernel::error_kind::invalid_configuration,
                              "(document): chunk " + std::to_string(index) + " is too large"});
    }
    plan.root_value = write_root(plan.next.root);
    if (plan.root_value.size() > max_object_bytes)
        faults.push_back(
            {kernel::error_kind::invalid_configuration, "(document): there are too many marks"});
}

} // namespace

configuration_state initial_state() {
    configuration_state result;
    result.accepted = std::make_shared<const fleet_configuration>(initial_configuration());
    return result;
}

document_set chunk_documents(const fleet_configuration& configuration, std::size_t index) {
    document_set result;
    if (index == 0) {
        for (const auto& [name, each] : configuration.services)
            result.services.push_back(each);
        for (const auto& [name, each] : configuration.presets)
            result.presets.push_back(each);
        return result;
    }
    for (const auto& [name, each] : configuration.organisations)
        if (organisation_chunk(name) == index)
            result.organisations.push_back(each);
    return result;
}

std::vector<std::size_t> changed_chunks(const stored_root& before, const stored_root& after) {
    std::vector<std::size_t> result;
    for (std::size_t index = 0; index < chunk_count; ++index)
        if (before.chunks[index] != after.chunks[index])
            result.push_back(index);
    return result;
}

std::optional<configuration_state> assemble(const configuration_state& before,
                                            const stored_root& root, std::uint64_t object_version,
                                            const std::vector<chunk_text>& changed) {
    auto configuration = *before.accepted;
    clear_chunks(configuration, changed_chunks(before.root, root));
    for (const auto& each : changed) {
        auto documents = parse_documents(each.text);
        if (!documents.value)
            return std::nullopt;
        replace_chunk(configuration, each.index, std::move(*documents.value));
    }
    configuration.version = root.version;
    configuration.preset_in_force = root.preset_in_force;
    configuration.data_centre_marks = root.data_centre_marks;
    configuration.vm_marks = root.vm_marks;
    if (!configuration.presets.contains(configuration.preset_in_force))
        return std::nullopt;
    return configuration_state{
        root, object_version,
        std::make_shared<const fleet_configuration>(std::move(configuration))};
}

change_plan plan_change(const configuration_state& state, const change_request& wanted,
                        const provisional_marks& known, const writer_stamp& stamp) {
    const auto repeated = state.root.recent.find(wanted.request_id);
    if (repeated != state.root.recent.end())
        return answered(change_status::accepted, repeated->second);
    if (wanted.if_version != 0 && wanted.if_version != state.root.version)
        return answered(change_status::conflict, state.root.version);
    auto applied = apply(*state.accepted, wanted.body, stamp.now);
    if (!applied.changed)
        return answered(change_status::invalid, state.root.version, std::move(applied.faults));

    change_plan result;
    result.next.root = next_root(state, *applied.changed, wanted, known, stamp);
    fill_plan(result, *state.accepted, *applied.changed, stamp, applied.faults);
    if (!applied.faults.empty())
        return answered(change_status::invalid, state.root.version, std::move(applied.faults));
    applied.changed->version = result.next.root.version;
    result.next.accepted = std::make_shared<const fleet_configuration>(std::move(*applied.changed));
    return result;
}

std::optional<provisional_mark> as_provisional_mark(const change_request& wanted,
                                                    helpers::wall_milliseconds now) {
    const auto* data_centre = std::get_if<mark_data_centre>(&wanted.body);
    if (data_centre != nullptr && data_centre->state == mark_state::leaving &&
        is_valid_name(data_centre->name))
        return provisional_mark{wanted.request_id, mark_subject::data_centre, data_centre->name,
                                now};
    const auto* vm = std::get_if<mark_vm>(&wanted.body);
    if (vm != nullptr && vm->state == mark_state::leaving && is_valid_name(vm->name))
        return provisional_mark{wanted.request_id, mark_subject::vm, vm->name, now};
    return std::nullopt;
}

} // namespace samphirespool::config
