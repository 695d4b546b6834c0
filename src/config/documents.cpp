// Converts the documents to JSON and back.
#include "config/documents.hpp"

#include "config/document_reader.hpp"

#include <utility>

namespace samphirespool::config {

namespace {

using json = nlohmann::json;

json to_json(const service_definition& from) {
    return {{"name", from.name},
            {"kind", from.kind == target_kind::engine ? "engine" : "service"},
            {"path_prefixes", from.path_prefixes},
            {"models", from.models},
            {"placement", from.placement},
            {"load_multiple", from.load_multiple},
            {"warm_capacity", from.warm_capacity},
            {"cold_allowance", from.cold_allowance},
            {"default_deadline_ms", from.default_deadline / std::chrono::milliseconds(1)},
            {"non_idempotent", from.non_idempotent},
            {"shards", from.shards},
            {"checks_fencing", from.checks_fencing}};
}

json to_json(const organisation_definition& from) {
    return {{"name", from.name},
            {"api_key_hash", from.api_key_hash},
            {"weight", from.weight},
            {"max_requests_per_second", from.max_requests_per_second},
            {"max_in_flight", from.max_in_flight}};
}

json to_json(const preset_definition& from) {
    return {{"name", from.name},
            {"load_multiple_factor", from.load_multiple_factor},
            {"limit_factor", from.limit_factor},
            {"overflow_to_other_regions", from.overflow_to_other_regions},
            {"retry_share", from.retry_share},
            {"organisation_weights", from.organisation_weights}};
}

json to_json(const std::map<std::string, mark, std::less<>>& marks) {
    auto result = json::object();
    for (const auto& [name, entry] : marks)
        result[name] = {{"state", entry.state == mark_state::leaving ? "leaving" : "returning"},
                        {"since", entry.since}};
    return result;
}

template <class Document>
json to_json(const std::vector<Document>& documents) {
    auto result = json::array();
    for (const auto& document : documents)
        result.push_back(to_json(document));
    return result;
}

template <class Document>
json values_to_json(const std::map<std::string, Document, std::less<>>& documents) {
    auto result = json::array();
    for (const auto& [name, document] : documents)
        result.push_back(to_json(document));
    return result;
}

void read_kind(document_reader& reader, fault_list& faults, target_kind& kind) {
    std::string name = kind == target_kind::engine ? "engine" : "service";
    reader.read("kind", name);
    if (name != "engine" && name != "service")
        add_fault(faults, reader.path_of("kind"), "must be \"engine\" or \"service\"");
    kind = name == "service" ? target_kind::service : target_kind::engine;
}

// Longest deadline that a document may contain: 24 hours, so that no arithmetic on it overflows.
constexpr std::int64_t max_deadline_ms = 24LL * 3600 * 1000;

void from_json(const json& from, const std::string& path, service_definition& to,
               fault_list& faults) {
    document_reader reader(from, path, faults);
    std::int64_t deadline_ms = to.default_deadline / std::chrono::milliseconds(1);
    reader.require("name", to.name);
    read_kind(reader, faults, to.kind);
    reader.read("path_prefixes", to.path_prefixes);
    reader.read("models", to.models);
    reader.read("placement", to.placement);
    reader.read("load_multiple", to.load_multiple);
    reader.read("warm_capacity", to.warm_capacity);
    reader.read("cold_allowance", to.cold_allowance);
    reader.read("default_deadline_ms", deadline_ms);
    reader.read("non_idempotent", to.non_idempotent);
    reader.read("shards", to.shards);
    reader.read("checks_fencing", to.checks_fencing);
    reader.reject_unknown_fields();
    if (deadline_ms <= 0 || deadline_ms > max_deadline_ms)
        add_fault(faults, reader.path_of("default_deadline_ms"), "must be 1 to 86400000");
    else
        to.default_deadline = std::chrono::milliseconds(deadline_ms);
}

void from_json(const json& from, const std::string& path, organisation_definition& to,
               fault_list& faults) {
    document_reader reader(from, path, faults);
    reader.require("name", to.name);
    reader.require("api_key_hash", to.api_key_hash);
    reader.read("weight", to.weight);
    reader.read("max_requests_per_second", to.max_requests_per_second);
    reader.read("max_in_flight", to.max_in_flight);
    reader.reject_unknown_fields();
}

void from_json(const json& from, const std::string& path, preset_definition& to,
               fault_list& faults) {
    document_reader reader(from, path, faults);
    reader.require("name", to.name);
    reader.read("load_multiple_factor", to.load_multiple_factor);
    reader.read("limit_factor", to.limit_factor);
    reader.read("overflow_to_other_regions", to.overflow_to_other_regions);
    reader.read("retry_share", to.retry_share);
    if (const auto* weights = reader.child("organisation_weights")) {
        document_reader fields(*weights, reader.path_of("organisation_weights"), faults);
        if (weights->is_object())
            for (const auto& [name, value] : weights->items())
                fields.read(name, to.organisation_weights[name]);
    }
    reader.reject_unknown_fields();
}

void read_marks(document_reader& reader, std::string_view field, fault_list& faults,
                std::map<std::string, mark, std::less<>>& to) {
    const auto* node = reader.child(field);
    if (node == nullptr)
        return;
    if (!node->is_object()) {
        add_fault(faults, reader.path_of(field), "must be an object");
        return;
    }
    for (const auto& [name, value] : node->items()) {
        document_reader mark_reader(value, reader.path_of(field) + "." + name, faults);
        std::string state;
        auto& target = to[name];
        mark_reader.require("state", state);
        mark_reader.read("since", target.since);
        mark_reader.reject_unknown_fields();
        if (state != "leaving" && state != "returning")
            add_fault(faults, mark_reader.path_of("state"), "must be \"leaving\" or \"returning\"");
        target.state = state == "returning" ? mark_state::returning : mark_state::leaving;
    }
}

template <class Document>
void read_list(document_reader& reader, std::string_view field, fault_list& faults,
               std::vector<Document>& to) {
    const auto* node = reader.child(field);
    if (node == nullptr)
        return;
    if (!node->is_array()) {
        add_fault(faults, reader.path_of(field), "must be a list");
        return;
    }
    to.resize(node->size());
    for (std::size_t i = 0; i < node->size(); ++i)
        from_json((*node)[i], reader.path_of(field) + "[" + std::to_string(i) + "]", to[i], faults);
}

template <class Document>
void index_by_name(std::vector<Document>&& from, std::string_view field, fault_list& faults,
                   std::map<std::string, Document, std::less<>>& to) {
    for (auto& document : from) {
        auto name = document.name;
        if (!to.emplace(name, std::move(document)).second)
            add_fault(faults, std::string(field) + "." + name, "occurs more than once");
    }
}

document_set read_document_set(document_reader& reader, fault_list& faults) {
    document_set result;
    read_list(reader, "services", faults, result.services);
    read_list(reader, "organisations", faults, result.organisations);
    read_list(reader, "presets", faults, result.presets);
    return result;
}

std::optional<json> parse_text(std::string_view text, fault_list& faults) {
    try {
        return json::parse(text);
    } catch (const json::exception& reason) {
        add_fault(faults, "(document)", reason.what());
        return std::nullopt;
    }
}

template <class Document>
parse_result<Document> parse_one(std::string_view text) {
    parse_result<Document> result;
    const auto document = parse_text(text, result.faults);
    if (!document)
        return result;
    Document value;
    from_json(*document, "", value, result.faults);
    if (result.faults.empty())
        result.value = std::move(value);
    return result;
}

} // namespace

std::string write_service(const service_definition& document) {
    return to_json(document).dump();
}

std::string write_organisation(const organisation_definition& document) {
    return to_json(document).dump();
}

std::string write_preset(const preset_definition& document) {
    return to_json(document).dump();
}

std::string write_documents(const document_set& documents) {
    auto result = json::object();
    if (!documents.services.empty())
        result["services"] = to_json(documents.services);
    if (!documents.organisations.empty())
        result["organisations"] = to_json(documents.organisations);
    if (!documents.presets.empty())
        result["presets"] = to_json(documents.presets);
    return result.dump();
}

parse_result<service_definition> parse_service(std::string_view text) {
    return parse_one<service_definition>(text);
}

parse_result<organisation_definition> parse_organisation(std::string_view text) {
    return parse_one<organisation_definition>(text);
}

parse_result<preset_definition> parse_preset(std::string_view text) {
    return parse_one<preset_definition>(text);
}

parse_result<document_set> parse_documents(std::string_view text) {
    parse_result<document_set> result;
    const auto document = parse_text(text, result.faults);
    if (!document)
        return result;
    document_reader reader(*document, "", result.faults);
    auto value = read_document_set(reader, result.faults);
    reader.reject_unknown_fields();
    if (result.faults.empty())
        result.value = std::move(value);
    return result;
}

std::string export_configuration(const fleet_configuration& configuration) {
    const json document{{"version", configuration.version},
                        {"services", values_to_json(configuration.services)},
                        {"organisations", values_to_json(configuration.organisations)},
                        {"presets", values_to_json(configuration.presets)},
                        {"preset_in_force", configuration.preset_in_force},
                        {"data_centre_marks", to_json(configuration.data_centre_marks)},
                        {"vm_marks", to_json(configuration.vm_marks)}};
    return document.dump(2);
}

parse_result<fleet_configuration> import_configuration(std::string_view text) {
    parse_result<fleet_configuration> result;
    const auto document = parse_text(text, result.faults);
    if (!document)
        return result;
    fleet_configuration value;
    document_reader reader(*document, "", result.faults);
    reader.read("version", value.version);
    auto documents = read_document_set(reader, result.faults);
    reader.read("preset_in_force", value.preset_in_force);
    read_marks(reader, "data_centre_marks", result.faults, value.data_centre_marks);
    read_marks(reader, "vm_marks", result.faults, value.vm_marks);
    reader.reject_unknown_fields();
    index_by_name(std::move(documents.services), "services", result.faults, value.services);
    index_by_name(std::move(documents.organisations), "organisations", result.faults,
                  value.organisations);
    index_by_name(std::move(documents.presets), "presets", result.faults, value.presets);
    if (result.faults.empty())
        result.value = std::move(value);
    return result;
}

} // namespace samphirespool::config
