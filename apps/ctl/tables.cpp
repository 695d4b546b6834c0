// Formatting of JSON responses as tables, whose columns are as wide as their longest cell, and as
// lines of a title and a value.
#include "apps/ctl/tables.hpp"

#include <algorithm>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <vector>

namespace samphirespool::ctl {

namespace {

using json = nlohmann::json;

struct column {
    std::string_view title;
    std::string_view member;
};

json parse(std::string_view text) {
    constexpr bool with_exceptions = false;
    auto document = json::parse(text, nullptr, with_exceptions);
    return document.is_object() ? document : json::object();
}

// Text of a JSON value. Control characters are replaced because they could affect the terminal.
std::string cell(const json& value) {
    if (value.is_null())
        return "-";
    if (value.is_boolean())
        return value.get<bool>() ? "yes" : "no";
    if (value.is_array()) {
        std::string joined;
        for (const auto& item : value)
            joined += (joined.empty() ? "" : " ") + cell(item);
        return joined.empty() ? "-" : joined;
    }
    auto text = value.is_string() ? value.get<std::string>()
                                  : value.dump(-1, ' ', true, json::error_handler_t::replace);
    std::replace_if(
        text.begin(), text.end(), [](unsigned char character) { return character < 0x20; }, '?');
    return text.empty() ? "-" : text;
}

json member(const json& object, std::string_view name) {
    const auto found = object.find(name);
    return found == object.end() ? json() : *found;
}

json list(const json& object, std::string_view name) {
    auto found = member(object, name);
    return found.is_array() ? found : json::array();
}

std::string table(const json& rows, std::initializer_list<column> columns) {
    std::vector<std::vector<std::string>> lines(1);
    for (const auto& column : columns)
        lines.front().emplace_back(column.title);
    for (const auto& row : rows) {
        auto& line = lines.emplace_back();
        for (const auto& column : columns)
            line.push_back(row.is_object() ? cell(member(row, column.member)) : "-");
    }
    std::string out;
    for (const auto& line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i) {
            std::size_t width = 0;
            for (const auto& other : lines)
                width = std::max(width, other[i].size());
            out.append(line[i]);
            if (i + 1 < line.size())
                out.append(width - line[i].size() + 2, ' ');
        }
        out.push_back('\n');
    }
    return out;
}

std::string pairs(const json& object, std::initializer_list<column> rows) {
    std::size_t width = 0;
    for (const auto& row : rows)
        width = std::max(width, row.title.size());
    std::string out;
    for (const auto& row : rows) {
        out.append(row.title).append(width - row.title.size() + 2, ' ');
        out.append(cell(member(object, row.member))).append("\n");
    }
    return out;
}

} // namespace

std::string status_text(std::string_view text) {
    return pairs(parse(text), {{"router", "name"},
                               {"data centre", "data_centre"},
                               {"region", "region"},
                               {"software", "software_version"},
                               {"uptime (ms)", "uptime_ms"},
                               {"ready", "ready"},
                               {"shutting down", "shutting_down"},
                               {"store reachable", "store_reachable"},
                               {"in flight", "requests_in_flight"},
                               {"queued", "requests_queued"},
                               {"members alive", "members_alive"},
                               {"roster version", "roster_version"},
                               {"configuration", "configuration_version"},
                               {"preset", "preset_in_force"}});
}

std::string members_table(std::string_view text) {
    return table(list(parse(text), "members"), {{"NAME", "name"},
                                                {"STATE", "state"},
                                                {"DATA CENTRE", "data_centre"},
                                                {"REGION", "region"},
                                                {"ADDRESS", "peer_address"},
                                                {"CONFIGURATION", "configuration_version"}});
}

std::string targets_table(std::string_view text) {
    return table(list(parse(text), "targets"), {{"NAME", "name"},
                                                {"SERVICE", "service"},
                                                {"DATA CENTRE", "data_centre"},
                                                {"VM", "vm"},
                                                {"ELIGIBLE", "eligible"},
                                                {"WARM", "warm"},
                                                {"IN FLIGHT", "in_flight"},
                                                {"CAPACITY", "capacity"},
                                                {"REPORTED", "reported_load"},
                                                {"OWNER", "owner"},
                                                {"REASON", "reason"}});
}

std::string marks_table(std::string_view text) {
    const auto marks = parse(text);
    auto rows = json::array();
    for (auto row : list(marks, "data_centres")) {
        row["kind"] = "data-centre";
        rows.push_back(row);
    }
    for (auto row : list(marks, "vms")) {
        row["kind"] = "vm";
        rows.push_back(row);
    }
    return table(rows,
                 {{"KIND", "kind"}, {"NAME", "name"}, {"MARK", "state"}, {"SINCE (MS)", "since"}});
}

std::string organisations_table(std::string_view text) {
    return table(list(parse(text), "organisations"), {{"NAME", "name"},
                                                      {"WEIGHT", "weight"},
                                                      {"REQUESTS/S", "max_requests_per_second"},
                                                      {"IN FLIGHT", "max_in_flight"}});
}

std::string services_table(std::string_view text) {
    return table(list(parse(text), "services"), {{"NAME", "name"},
                                                 {"KIND", "kind"},
                                                 {"PLACEMENT", "placement"},
                                                 {"LOAD MULTIPLE", "load_multiple"},
                                                 {"WARM", "warm_capacity"},
                                                 {"COLD", "cold_allowance"},
                                                 {"PATHS", "path_prefixes"},
                                                 {"MODELS", "models"}});
}

std::string presets_table(std::string_view text) {
    return table(list(parse(text), "presets"), {{"NAME", "name"},
                                                {"LOAD FACTOR", "load_multiple_factor"},
                                                {"LIMIT FACTOR", "limit_factor"},
                                                {"OVERFLOW", "overflow_to_other_regions"},
                                                {"RETRY SHARE", "retry_share"}});
}

std::string preset_text(std::string_view text) {
    return pairs(parse(text), {{"preset", "name"}, {"configuration", "version"}});
}

std::string configuration_text(std::string_view text) {
    auto document = parse(text);
    for (const auto* name :
         {"services", "organisations", "presets", "data_centre_marks", "vm_marks"})
        document[name] = document.contains(name) ? document[name].size() : 0;
    return pairs(document, {{"version", "version"},
                            {"preset", "preset_in_force"},
                            {"services", "services"},
                            {"organisations", "organisations"},
                            {"presets", "presets"},
                            {"marks on data centres", "data_centre_marks"},
                            {"marks on VMs", "vm_marks"}});
}

std::string message_text(std::string_view text) {
    const auto document = parse(text);
    if (document.empty())
        return std::string(text);
    const auto error = member(document, "error");
    if (error.is_object())
        return cell(member(error, "code")) + ": " + cell(member(error, "message")) + "\n";
    std::string out;
    if (document.contains("status"))
        out = cell(document["status"]) + " at version " + cell(member(document, "version")) + "\n";
    if (document.contains("message"))
        out += cell(document["message"]) + "\n";
    for (const auto& fault : list(document, "faults"))
        out += "  " + cell(fault) + "\n";
    return out;
}

std::string next_page(std::string_view text) {
    const auto next = member(parse(text), "next");
    return next.is_string() ? next.get<std::string>() : "";
}

std::string version_of(std::string_view text) {
    const auto version = member(parse(text), "version");
    return version.is_number_unsigned() ? version.dump() : "0";
}

} // namespace samphirespool::ctl
