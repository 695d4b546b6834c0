// JSON form of the configuration's documents, as used by operators and in the store. Unknown and
// malformed fields are faults; each fault states the path to its field.
#pragma once

#include "config/fleet_configuration.hpp"
#include "kernel/error.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphirespool::config {

// The value is present if and only if there is no fault.
template <class Document>
struct parse_result {
    std::optional<Document> value;
    std::vector<kernel::error> faults;
};

// Documents that are stored or sent together, such as those of one chunk.
struct document_set {
    std::vector<service_definition> services;
    std::vector<organisation_definition> organisations;
    std::vector<preset_definition> presets;
};

std::string write_service(const service_definition& document);
std::string write_organisation(const organisation_definition& document);
std::string write_preset(const preset_definition& document);
std::string write_documents(const document_set& documents);

parse_result<service_definition> parse_service(std::string_view text);
parse_result<organisation_definition> parse_organisation(std::string_view text);
parse_result<preset_definition> parse_preset(std::string_view text);
parse_result<document_set> parse_documents(std::string_view text);

// The whole configuration as one document: version, services, organisations, presets,
// preset_in_force and marks. An imported document may lack the version.
std::string export_configuration(const fleet_configuration& configuration);
parse_result<fleet_configuration> import_configuration(std::string_view text);

} // namespace samphirespool::config
