// Parses changes from JSON.
#include "admin/change_reader.hpp"

#include "config/document_reader.hpp"
#include "config/documents.hpp"

#include <nlohmann/json.hpp>

namespace samphirespool::admin {

namespace {

using json = nlohmann::json;

// Parses the body and moves if_version and request_id from it to `input`. An empty body counts as
// an empty object.
json read_body(std::string_view body, change_input& input) {
    constexpr bool allow_exceptions = false;
    auto document = body.empty() ? json::object() : json::parse(body, nullptr, allow_exceptions);
    if (document.is_discarded()) {
        config::add_fault(input.faults, "(document)", "is not JSON");
        return json::object();
    }
    config::document_reader reader(document, "", input.faults);
    if (document.contains("if_version"))
        reader.read("if_version", input.if_version.emplace());
    if (document.contains("request_id"))
        reader.read("request_id", input.request_id.emplace());
    if (document.is_object()) {
        document.erase("if_version");
        document.erase("request_id");
    }
    return document;
}

template <class Mark>
change_input read_mark(std::string_view body, std::string_view name) {
    change_input input;
    const auto document = read_body(body, input);
    config::document_reader reader(document, "", input.faults);
    std::string state;
    reader.require("state", state);
    reader.reject_unknown_fields();
    if (state != "leaving" && state != "returning")
        config::add_fault(input.faults, "state", "must be \"leaving\" or \"returning\"");
    const auto mark_state =
        state == "leaving" ? config::mark_state::leaving : config::mark_state::returning;
    if (input.faults.empty())
        input.body = Mark{std::string(name), mark_state};
    return input;
}

template <class Change, class Document>
change_input read_document(std::string_view body, std::string_view name,
                           config::parse_result<Document> (*parse)(std::string_view)) {
    change_input input;
    auto document = read_body(body, input);
    if (!input.faults.empty())
        return input;
    document.emplace("name", name);
    auto parsed = parse(document.dump());
    input.faults = std::move(parsed.faults);
    if (parsed.value && parsed.value->name != name)
        config::add_fault(input.faults, "name", "differs from the name in the path");
    if (input.faults.empty())
        input.body = Change{std::move(*parsed.value)};
    return input;
}

} // namespace

change_input read_preset_choice(std::string_view body, std::string_view) {
    change_input input;
    const auto document = read_body(body, input);
    config::document_reader reader(document, "", input.faults);
    std::string name;
    reader.require("name", name);
    reader.reject_unknown_fields();
    if (input.faults.empty())
        input.body = config::use_preset{std::move(name)};
    return input;
}

change_input read_data_centre_mark(std::string_view body, std::string_view name) {
    return read_mark<config::mark_data_centre>(body, name);
}

change_input read_vm_mark(std::string_view body, std::string_view name) {
    return read_mark<config::mark_vm>(body, name);
}

change_input read_organisation(std::string_view body, std::string_view name) {
    return read_document<config::put_organisation>(body, name, config::parse_organisation);
}

change_input read_organisation_removal(std::string_view body, std::string_view name) {
    change_input input;
    const auto document = read_body(body, input);
    config::document_reader(document, "", input.faults).reject_unknown_fields();
    if (input.faults.empty())
        input.body = config::remove_organisation{std::string(name)};
    return input;
}

change_input read_service(std::string_view body, std::string_view name) {
    return read_document<config::put_service>(body, name, config::parse_service);
}

change_input read_preset(std::string_view body, std::string_view name) {
    return read_document<config::put_preset>(body, name, config::parse_preset);
}

change_input read_whole_configuration(std::string_view body, std::string_view) {
    change_input input;
    auto parsed = config::import_configuration(body);
    input.faults = std::move(parsed.faults);
    if (parsed.value)
        input.body = config::replace_all{std::move(*parsed.value)};
    return input;
}

} // namespace samphirespool::admin
