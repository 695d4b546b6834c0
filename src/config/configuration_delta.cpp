// Computes, applies and encodes deltas between accepted versions.
#include "config/configuration_delta.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace samphirespool::config {

namespace {

using json = nlohmann::json;

// Compares two sorted maps in one pass over both.
template <class Document>
void diff_documents(const std::map<std::string, Document, std::less<>>& from,
                    const std::map<std::string, Document, std::less<>>& to,
                    std::vector<Document>& changed, std::vector<std::string>& removed) {
    auto old_it = from.begin();
    for (const auto& [name, document] : to) {
        while (old_it != from.end() && old_it->first < name)
            removed.push_back((old_it++)->first);
        if (old_it == from.end() || old_it->first != name) {
            changed.push_back(document);
            continue;
        }
        if (old_it->second != document)
            changed.push_back(document);
        ++old_it;
    }
    for (; old_it != from.end(); ++old_it)
        removed.push_back(old_it->first);
}

} // namespace

configuration_delta diff_states(const configuration_state& from, const configuration_state& to) {
    configuration_delta result;
    result.from = from.root.version;
    result.to = to.root.version;
    result.root_patch = diff_roots(from.root, to.root);
    diff_documents(from.accepted->services, to.accepted->services, result.changed.services,
                   result.removed_services);
    diff_documents(from.accepted->organisations, to.accepted->organisations,
                   result.changed.organisations, result.removed_organisations);
    // The set of presets is fixed, so none is ever removed.
    std::vector<std::string> removed_presets;
    diff_documents(from.accepted->presets, to.accepted->presets, result.changed.presets,
                   removed_presets);
    return result;
}

std::optional<configuration_state> apply_delta(const configuration_state& before,
                                               const configuration_delta& delta) {
    if (delta.from != before.root.version || delta.to <= delta.from)
        return std::nullopt;
    auto root = patch_root(before.root, delta.root_patch);
    if (!root || root->version != delta.to)
        return std::nullopt;
    auto configuration = *before.accepted;
    for (const auto& name : delta.removed_services)
        configuration.services.erase(name);
    for (const auto& name : delta.removed_organisations)
        configuration.organisations.erase(name);
    for (const auto& service : delta.changed.services)
        configuration.services.insert_or_assign(service.name, service);
    for (const auto& organisation : delta.changed.organisations)
        configuration.organisations.insert_or_assign(organisation.name, organisation);
    for (const auto& preset : delta.changed.presets)
        configuration.presets.insert_or_assign(preset.name, preset);
    configuration.version = root->version;
    configuration.preset_in_force = root->preset_in_force;
    configuration.data_centre_marks = root->data_centre_marks;
    configuration.vm_marks = root->vm_marks;
    if (!configuration.presets.contains(configuration.preset_in_force))
        return std::nullopt;
    return configuration_state{
        std::move(*root), 0, std::make_shared<const fleet_configuration>(std::move(configuration))};
}

std::string write_delta(const configuration_delta& delta) {
    return json{{"from", delta.from},
                {"to", delta.to},
                {"root_patch", delta.root_patch},
                {"changed", write_documents(delta.changed)},
                {"removed_services", delta.removed_services},
                {"removed_organisations", delta.removed_organisations}}
        .dump();
}

std::optional<configuration_delta> parse_delta(std::string_view text) {
    try {
        const auto document = json::parse(text);
        configuration_delta result;
        result.from = document.at("from").get<configuration_version>();
        result.to = document.at("to").get<configuration_version>();
        result.root_patch = document.at("root_patch").get<std::string>();
        result.removed_services = document.at("removed_services").get<std::vector<std::string>>();
        result.removed_organisations =
            document.at("removed_organisations").get<std::vector<std::string>>();
        auto changed = parse_documents(document.at("changed").get<std::string>());
        if (!changed.value)
            return std::nullopt;
        result.changed = std::move(*changed.value);
        return result;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace samphirespool::config
