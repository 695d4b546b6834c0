// Parses a change of the configuration from the body of a request. `name` is the last segment of
// the path: a document without a name gets it, and a document with another name is a fault.
#pragma once

#include "config/configuration_service.hpp"
#include "kernel/error.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphirespool::admin {

// The fields "if_version" and "request_id" of the body are removed from the document and returned
// separately, except by read_whole_configuration, whose large body is parsed only once.
struct change_input {
    // Set only if there are no faults.
    std::optional<config::change_body> body;
    std::optional<config::configuration_version> if_version;
    std::optional<std::string> request_id;
    std::vector<kernel::error> faults;
};

using change_reader = change_input (*)(std::string_view body, std::string_view name);

change_input read_preset_choice(std::string_view body, std::string_view name);
change_input read_data_centre_mark(std::string_view body, std::string_view name);
change_input read_vm_mark(std::string_view body, std::string_view name);
change_input read_organisation(std::string_view body, std::string_view name);
change_input read_organisation_removal(std::string_view body, std::string_view name);
change_input read_service(std::string_view body, std::string_view name);
change_input read_preset(std::string_view body, std::string_view name);
change_input read_whole_configuration(std::string_view body, std::string_view name);

} // namespace samphirespool::admin
