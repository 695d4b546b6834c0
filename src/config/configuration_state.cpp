// Splits configurations into chunks, assembles them again, and evaluates changes.
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

// Returns, by chunk index, whether the documents of the chunk differ between the configurations.
std::vector<bool> differing_chunks(const fleet_configuration& before,
                                   const fleet_configuration& after) {
    std::vector<bool> result(chunk_count);
    result[0] = before.services != after.services || before.presets != after.presets;
    auto old_it = before.organisations.begin();
    auto new_it = after.organisations.begin();
    while (old_it != before.organisations.end() || new_it != after.organisations.end()) {
        const auto only_old =
            new_it == after.organisations.end() ||
            (old_it != before.organisations.end() && old_it->first < new_it->first);
        const auto only_new =
            !only_old && (old_it == before.organisations.end() || new_it->first < old_it->first);
        if (only_old || only_new || old_it->second != new_it->second)
            result[organisation_chunk(only_old ? old_it->first : new_it->first)] = true;
        if (!only_new)
            ++old_it;
        if (!only_old)
            ++new_it;
    }
    return result;
}

// Returns the documents of the selected chunks by chunk index; the other entries are empty.
std::vector<document_set> group_documents(const fleet_configuration& configuration,
                                          const std::vector<bool>& is_selected) {
    std::vector<document_set> result(chunk_count);
    if (is_selected[0])
        result[0] = chunk_documents(configuration, 0);
    for (const auto& [name, organisation] : configuration.organisations) {
        const auto index = organisation_chunk(name);
        if (is_selected[index])
            result[index].organisations.push_back(organisation);
    }
    return result;
}

// Adds the change to the recent ones, of which the oldest is removed when there are too many.
void add_recent_change(stored_root& root, const std::string& request_id) {
    if (request_id.empty())
        return;
    root.recent[request_id] = root.version;
    if (root.recent.size() <= max_recent_changes)
        return;
    const auto is_older = [](const auto& a, const auto& b) { return a.second < b.second; };
    root.recent.erase(std::min_element(root.recent.begin(), root.recent.end(), is_older));
}

void settle(stored_root& root, mark_subject subject, const std::string& name,
            const std::string& own_id, const provisional_marks& provisional) {
    auto ids = provisional.ids_for(subject, name);
    if (!own_id.empty() && std::find(ids.begin(), ids.end(), own_id) == ids.end())
        ids.push_back(own_id);
    auto& settled = root.settled[settled_key(subject, name)];
    settled.insert(settled.end(), ids.begin(), ids.end());
    if (settled.size() > max_settled_marks)
        settled.erase(settled.begin(),
                      settled.end() - static_cast<std::ptrdiff_t>(max_settled_marks));
}

// Settles the provisional marks that the change takes into account, and its own id: if the reply to
// the change is lost, its mark may be held as provisional although it was accepted.
void settle_marks(stored_root& root, const change_request& request,
                  const provisional_marks& provisional) {
    if (const auto* data_centre = std::get_if<mark_data_centre>(&request.body))
        settle(root, mark_subject::data_centre, data_centre->name, request.request_id, provisional);
    if (const auto* vm = std::get_if<mark_vm>(&request.body))
        settle(root, mark_subject::vm, vm->name, request.request_id, provisional);
}

// A plan that writes nothing, because the result is already known.
change_plan plan_without_writes(change_status status, configuration_version version,
                                std::vector<kernel::error> faults = {}) {
    change_plan plan;
    plan.result = change_result{status, version, std::move(faults)};
    return plan;
}

stored_root next_root(const configuration_state& state, const fleet_configuration& changed,
                      const change_request& request, const provisional_marks& provisional,
                      const writer_stamp& stamp) {
    auto root = state.root;
    ++root.version;
    root.writer = stamp.writer;
    root.nonce = stamp.nonce;
    root.preset_in_force = changed.preset_in_force;
    root.data_centre_marks = changed.data_centre_marks;
    root.vm_marks = changed.vm_marks;
    add_recent_change(root, request.request_id);
    settle_marks(root, request, provisional);
    return root;
}

// Replaces the documents of chunk 0, or adds the organisations of another chunk, which was cleared
// before. Organisations that belong to another chunk are ignored.
void replace_chunk(fleet_configuration& configuration, std::size_t index,
                   document_set&& documents) {
    if (index == 0) {
        configuration.services.clear();
        configuration.presets.clear();
        for (auto& service : documents.services)
            configuration.services.insert_or_assign(service.name, std::move(service));
        for (auto& preset : documents.presets)
            configuration.presets.insert_or_assign(preset.name, std::move(preset));
        return;
    }
    for (auto& organisation : documents.organisations)
        if (organisation_chunk(organisation.name) == index)
            configuration.organisations.insert_or_assign(organisation.name,
                                                         std::move(organisation));
}

// Removes the organisations of the given chunks.
void clear_chunks(fleet_configuration& configuration, const std::vector<std::size_t>& indices) {
    std::vector<bool> is_cleared(chunk_count);
    for (const auto index : indices)
        is_cleared[index] = true;
    std::erase_if(configuration.organisations, [&is_cleared](const auto& entry) {
        return is_cleared[organisation_chunk(entry.first)];
    });
}

// Adds the objects to write to the plan, and a fault for each one that is too large.
void add_writes(change_plan& plan, const fleet_configuration& before,
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
        faults.push_back({kernel::error_kind::invalid_configuration, "(document): too many marks"});
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
        for (const auto& [name, service] : configuration.services)
            result.services.push_back(service);
        for (const auto& [name, preset] : configuration.presets)
            result.presets.push_back(preset);
        return result;
    }
    for (const auto& [name, organisation] : configuration.organisations)
        if (organisation_chunk(name) == index)
            result.organisations.push_back(organisation);
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
    for (const auto& chunk : changed) {
        auto documents = parse_documents(chunk.text);
        if (!documents.value)
            return std::nullopt;
        replace_chunk(configuration, chunk.index, std::move(*documents.value));
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

change_plan plan_change(const configuration_state& state, const change_request& request,
                        const provisional_marks& provisional, const writer_stamp& stamp) {
    const auto first_attempt = state.root.recent.find(request.request_id);
    if (first_attempt != state.root.recent.end())
        return plan_without_writes(change_status::accepted, first_attempt->second);
    if (request.if_version != 0 && request.if_version != state.root.version)
        return plan_without_writes(change_status::conflict, state.root.version);
    auto applied = apply(*state.accepted, request.body, stamp.now);
    if (!applied.changed)
        return plan_without_writes(change_status::invalid, state.root.version,
                                   std::move(applied.faults));

    change_plan plan;
    plan.next.root = next_root(state, *applied.changed, request, provisional, stamp);
    add_writes(plan, *state.accepted, *applied.changed, stamp, applied.faults);
    if (!applied.faults.empty())
        return plan_without_writes(change_status::invalid, state.root.version,
                                   std::move(applied.faults));
    applied.changed->version = plan.next.root.version;
    plan.next.accepted = std::make_shared<const fleet_configuration>(std::move(*applied.changed));
    return plan;
}

std::optional<provisional_mark> as_provisional_mark(const change_request& request,
                                                    helpers::wall_milliseconds now) {
    const auto* data_centre = std::get_if<mark_data_centre>(&request.body);
    if (data_centre != nullptr && data_centre->state == mark_state::leaving &&
        is_valid_name(data_centre->name))
        return provisional_mark{request.request_id, mark_subject::data_centre, data_centre->name,
                                now};
    const auto* vm = std::get_if<mark_vm>(&request.body);
    if (vm != nullptr && vm->state == mark_state::leaving && is_valid_name(vm->name))
        return provisional_mark{request.request_id, mark_subject::vm, vm->name, now};
    return std::nullopt;
}

} // namespace samphirespool::config
