// Implementation of the configuration validation, one function for each document type or rule.
#include "config/checks.hpp"

#include "kernel/plug_in_names.hpp"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <string>
#include <unordered_map>

namespace samphirespool::config {

namespace {

using fault_list = std::vector<kernel::error>;

constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t api_key_hash_digits = 64;
constexpr double max_load_multiple = 100;
constexpr double max_factor = 100;
constexpr std::uint32_t max_weight = 1'000'000;
constexpr std::uint32_t max_shards = 64;
constexpr std::uint32_t max_target_capacity = 1'000'000;
constexpr auto max_deadline = std::chrono::hours(24);

void report_fault(fault_list& faults, std::string path, std::string_view reason) {
    faults.push_back(
        {kernel::error_kind::invalid_configuration, std::move(path) + ": " + std::string(reason)});
}

bool is_within(double value, double low, double high) {
    return std::isfinite(value) && value >= low && value <= high;
}

bool is_sha256_hex(std::string_view text) {
    const auto is_lower_hex_digit = [](unsigned char c) {
        return std::isdigit(c) || (c >= 'a' && c <= 'f');
    };
    return text.size() == api_key_hash_digits &&
           std::all_of(text.begin(), text.end(), is_lower_hex_digit);
}

void check_name(fault_list& faults, const std::string& path, std::string_view key,
                std::string_view name) {
    if (!is_valid_name(name))
        report_fault(faults, path + ".name", "must be 1 to 64 letters, digits, '.', '_' or '-'");
    if (key != name)
        report_fault(faults, path + ".name", "differs from the key of its entry");
}

void check_non_idempotent_calls(fault_list& faults, const std::string& path,
                                const service_definition& service) {
    for (std::size_t i = 0; i < service.non_idempotent.size(); ++i) {
        const auto& call = service.non_idempotent[i];
        const auto space = call.find(' ');
        const auto is_method_and_path = space != std::string::npos && space > 0 &&
                                        space + 1 < call.size() && call[space + 1] == '/' &&
                                        call.find(' ', space + 1) == std::string::npos;
        if (!is_method_and_path)
            report_fault(faults, path + ".non_idempotent[" + std::to_string(i) + "]",
                         "must be a method and a path, such as \"POST /bookings\"");
    }
}

void check_prefixes(fault_list& faults, const std::string& path,
                    const service_definition& service) {
    for (std::size_t i = 0; i < service.path_prefixes.size(); ++i)
        if (!service.path_prefixes[i].starts_with('/'))
            report_fault(faults, path + ".path_prefixes[" + std::to_string(i) + "]",
                         "must start with '/'");
    for (std::size_t i = 0; i < service.models.size(); ++i)
        if (service.models[i].empty())
            report_fault(faults, path + ".models[" + std::to_string(i) + "]", "must not be empty");
    if (service.path_prefixes.empty() && service.models.empty())
        report_fault(faults, path, "needs a path prefix or a model");
}

void check_placement(fault_list& faults, const std::string& path, const std::string& name) {
    const auto& strategies = kernel::plug_in_names("placement strategy");
    if (strategies.contains(name))
        return;
    std::string list;
    for (const auto& strategy : strategies)
        list += (list.empty() ? "" : ", ") + strategy;
    report_fault(faults, path, "must name a placement strategy: " + list);
}

void check_service(fault_list& faults, const std::string& key, const service_definition& service) {
    const auto path = "services." + key;
    check_name(faults, path, key, service.name);
    check_prefixes(faults, path, service);
    check_non_idempotent_calls(faults, path, service);
    check_placement(faults, path + ".placement", service.placement);
    if (!is_within(service.load_multiple, 1, max_load_multiple))
        report_fault(faults, path + ".load_multiple", "must be 1 to 100");
    if (service.warm_capacity == 0 || service.warm_capacity > max_target_capacity)
        report_fault(faults, path + ".warm_capacity", "must be 1 to 1000000");
    if (service.cold_allowance == 0 || service.cold_allowance > service.warm_capacity)
        report_fault(faults, path + ".cold_allowance", "must be 1 to warm_capacity");
    if (service.shards == 0 || service.shards > max_shards)
        report_fault(faults, path + ".shards", "must be 1 to 64");
    if (service.default_deadline <= helpers::duration::zero() ||
        service.default_deadline > max_deadline)
        report_fault(faults, path + ".default_deadline_ms", "must be 1 to 86400000");
}

void check_organisation(fault_list& faults, const std::string& key,
                        const organisation_definition& organisation) {
    const auto path = "organisations." + key;
    check_name(faults, path, key, organisation.name);
    if (!is_sha256_hex(organisation.api_key_hash))
        report_fault(faults, path + ".api_key_hash", "must be 64 hexadecimal digits in lower case");
    if (organisation.weight == 0 || organisation.weight > max_weight)
        report_fault(faults, path + ".weight", "must be 1 to 1000000");
    if (!is_within(organisation.max_requests_per_second, 0, 1e9))
        report_fault(faults, path + ".max_requests_per_second", "must be 0 to 1000000000");
}

void check_preset(fault_list& faults, const std::string& key, const preset_definition& preset) {
    const auto path = "presets." + key;
    check_name(faults, path, key, preset.name);
    if (!is_within(preset.load_multiple_factor, 0.01, max_factor))
        report_fault(faults, path + ".load_multiple_factor", "must be 0.01 to 100");
    if (!is_within(preset.limit_factor, 0.01, max_factor))
        report_fault(faults, path + ".limit_factor", "must be 0.01 to 100");
    if (!is_within(preset.retry_share, 0, 1))
        report_fault(faults, path + ".retry_share", "must be 0 to 1");
    const auto weights = path + ".organisation_weights.";
    for (const auto& [name, weight] : preset.organisation_weights)
        if (weight == 0 || weight > max_weight)
            report_fault(faults, weights + name, "must be 1 to 1000000");
}

// Path prefixes and models must be unique, so that a request matches one service only.
void check_routes(fault_list& faults, const fleet_configuration& configuration) {
    std::map<std::string_view, std::string_view> prefixes;
    std::map<std::string_view, std::string_view> models;
    const auto add_route = [&](auto& services, const std::string& value, const std::string& path,
                               std::string_view service) {
        const auto [it, added] = services.emplace(value, service);
        if (!added)
            report_fault(faults, path,
                         "\"" + value + "\" is also in services." + std::string(it->second));
    };
    for (const auto& [name, service] : configuration.services) {
        for (const auto& prefix : service.path_prefixes)
            add_route(prefixes, prefix, "services." + name + ".path_prefixes", name);
        for (const auto& model : service.models)
            add_route(models, model, "services." + name + ".models", name);
    }
}

void check_api_keys(fault_list& faults, const fleet_configuration& configuration) {
    std::unordered_map<std::string_view, std::string_view> owners;
    owners.reserve(configuration.organisations.size());
    for (const auto& [name, organisation] : configuration.organisations) {
        const auto [it, added] = owners.emplace(organisation.api_key_hash, name);
        if (!added)
            report_fault(faults, "organisations." + name + ".api_key_hash",
                         "is also used by organisations." + std::string(it->second));
    }
}

void check_preset_set(fault_list& faults, const fleet_configuration& configuration) {
    const auto is_preset_name = [](std::string_view name) {
        return std::find(std::begin(preset_names), std::end(preset_names), name) !=
               std::end(preset_names);
    };
    for (const auto& [name, preset] : configuration.presets)
        if (!is_preset_name(name))
            report_fault(faults, "presets." + name, "must be ordinary, peak or maintenance");
    for (const auto& name : preset_names)
        if (!configuration.presets.contains(name))
            report_fault(faults, "presets." + std::string(name), "is missing");
    if (!configuration.presets.contains(configuration.preset_in_force))
        report_fault(faults, "preset_in_force", "must name a preset");
}

void check_marks(fault_list& faults, std::string_view field,
                 const std::map<std::string, mark, std::less<>>& marks) {
    for (const auto& [name, entry] : marks)
        if (!is_valid_name(name))
            report_fault(faults, std::string(field) + "." + name,
                         "must be 1 to 64 letters, digits, '.', '_' or '-'");
}

} // namespace

bool is_valid_name(std::string_view name) {
    const auto is_allowed = [](unsigned char c) {
        return std::isalnum(c) || c == '.' || c == '_' || c == '-';
    };
    return !name.empty() && name.size() <= max_name_bytes &&
           std::all_of(name.begin(), name.end(), is_allowed);
}

std::vector<kernel::error> check(const organisation_definition& organisation) {
    fault_list faults;
    check_organisation(faults, organisation.name, organisation);
    return faults;
}

std::vector<kernel::error> check(const fleet_configuration& configuration) {
    fault_list faults;
    for (const auto& [name, service] : configuration.services)
        check_service(faults, name, service);
    check_routes(faults, configuration);
    for (const auto& [name, organisation] : configuration.organisations)
        check_organisation(faults, name, organisation);
    check_api_keys(faults, configuration);
    for (const auto& [name, preset] : configuration.presets)
        check_preset(faults, name, preset);
    check_preset_set(faults, configuration);
    check_marks(faults, "data_centre_marks", configuration.data_centre_marks);
    check_marks(faults, "vm_marks", configuration.vm_marks);
    return faults;
}

fleet_configuration initial_configuration() {
    fleet_configuration result;
    for (const auto& name : preset_names) {
        preset_definition preset;
        preset.name = name;
        result.presets.emplace(name, preset);
    }
    return result;
}

} // namespace samphirespool::config
