// Implementation of the commands.
#include "apps/ctl/session.hpp"

#include "apps/ctl/exit_codes.hpp"
#include "apps/ctl/files.hpp"
#include "apps/ctl/tables.hpp"
#include "debug/timeline.hpp"

#include <algorithm>
#include <array>
#include <iostream>
#include <random>

namespace samphirespool::ctl {

namespace {

const std::string api = "/admin/v1/";

struct exit_code_mapping {
    int http_status;
    exit_code code;
};

constexpr std::array<exit_code_mapping, 7> exit_code_mappings{{
    {200, success},
    {202, not_durable},
    {401, not_authorized},
    {403, not_authorized},
    {409, conflict},
    {503, not_accepted},
    {504, outcome_unknown},
}};

exit_code exit_code_for(int http_status) {
    for (const auto& row : exit_code_mappings)
        if (row.http_status == http_status)
            return row.code;
    return rejected;
}

std::string unchanged(std::string_view text) {
    return std::string(text);
}

std::string make_request_id() {
    std::random_device random;
    std::string id = "ctl";
    for (int i = 0; i < 4; ++i)
        id += "-" + std::to_string(random());
    return id;
}

// Names become part of a URL path. The router rejects all other names as well.
bool is_name(const std::string& name) {
    return !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char letter) {
        return std::isalnum(letter) != 0 || letter == '-' || letter == '_' || letter == '.';
    });
}

int report_bad_name(const std::string& name) {
    std::cerr << name
              << ": a name may contain only letters, digits, hyphens, underscores and dots\n";
    return usage;
}

} // namespace

int session::report_failure(const call_result& result) const {
    std::cerr << result.reason.detail << "\n";
    if (!result.maybe_sent)
        return unreachable;
    std::cerr << "No response: the outcome is unknown.\n";
    return outcome_unknown;
}

int session::print(const admin_response& response, text_writer write) const {
    const auto code = exit_code_for(response.status);
    if (this->command_options.json) {
        std::cout << response.body << "\n";
        return code;
    }
    if (code == success)
        std::cout << write(response.body);
    else
        std::cerr << message_text(response.body);
    return code;
}

int session::show(const std::string& path, text_writer write) {
    const auto result = this->client.call("GET", path);
    if (result.response)
        return this->print(*result.response, write);
    std::cerr << result.reason.detail << "\n";
    return unreachable;
}

int session::change(std::string_view method, const std::string& path, const std::string& body) {
    const auto id = this->command_options.request_id.empty() ? make_request_id()
                                                             : this->command_options.request_id;
    std::cerr << "request id: " << id << "\n";
    auto full_path = path + "?request_id=" + id;
    if (this->command_options.if_version)
        full_path += "&if_version=" + std::to_string(*this->command_options.if_version);
    const auto result = this->client.change(method, full_path, body);
    if (!result.response)
        return this->report_failure(result);
    return this->print(*result.response, message_text);
}

int session::put_file(const std::string& path, const std::string& file) {
    const auto body = read_file(file);
    if (!body)
        return usage;
    return this->change("PUT", path, *body);
}

int session::status(argument_list) {
    return this->show(api + "status", status_text);
}

int session::members(argument_list) {
    return this->show(api + "members", members_table);
}

int session::targets(argument_list arguments) {
    if (arguments.empty())
        return this->show(api + "targets", targets_table);
    if (!is_name(arguments[0]))
        return report_bad_name(arguments[0]);
    return this->show(api + "targets?service=" + arguments[0], targets_table);
}

int session::metrics(argument_list) {
    return this->show("/metrics", unchanged);
}

int session::show_preset(argument_list) {
    return this->show(api + "preset", preset_text);
}

int session::use_preset(argument_list arguments) {
    if (!is_name(arguments[0]))
        return report_bad_name(arguments[0]);
    return this->change("PUT", api + "preset", R"({"name":")" + arguments[0] + "\"}");
}

int session::marks(argument_list) {
    return this->show(api + "marks", marks_table);
}

int session::mark(argument_list arguments) {
    const auto& state = arguments[0];
    const auto& kind = arguments[1];
    const auto& name = arguments[2];
    if ((state != "leaving" && state != "returning") || (kind != "data-centre" && kind != "vm")) {
        std::cerr << "usage: samphirespoolctl mark leaving|returning data-centre|vm NAME\n";
        return usage;
    }
    if (!is_name(name))
        return report_bad_name(name);
    return this->change("PUT", api + "marks/" + kind + "s/" + name,
                        R"({"state":")" + state + "\"}");
}

int session::list_organisations(argument_list) {
    std::string after;
    while (true) {
        auto path = api;
        path += "organisations?limit=1000&after=";
        path += after;
        const auto result = this->client.call("GET", path);
        if (!result.response)
            return this->report_failure(result);
        const auto code = this->print(*result.response, organisations_table);
        after = next_page(result.response->body);
        if (code != success || after.empty())
            return code;
    }
}

int session::show_organisation(argument_list arguments) {
    if (!is_name(arguments[0]))
        return report_bad_name(arguments[0]);
    return this->show(api + "organisations/" + arguments[0], unchanged);
}

int session::put_organisation(argument_list arguments) {
    if (!is_name(arguments[0]))
        return report_bad_name(arguments[0]);
    return this->put_file(api + "organisations/" + arguments[0], arguments[1]);
}

int session::remove_organisation(argument_list arguments) {
    if (!is_name(arguments[0]))
        return report_bad_name(arguments[0]);
    return this->change("DELETE", api + "organisations/" + arguments[0], "");
}

int session::list_services(argument_list) {
    return this->show(api + "services", services_table);
}

int session::put_service(argument_list arguments) {
    if (!is_name(arguments[0]))
        return report_bad_name(arguments[0]);
    return this->put_file(api + "services/" + arguments[0], arguments[1]);
}

int session::list_presets(argument_list) {
    return this->show(api + "presets", presets_table);
}

int session::put_preset(argument_list arguments) {
    if (!is_name(arguments[0]))
        return report_bad_name(arguments[0]);
    return this->put_file(api + "presets/" + arguments[0], arguments[1]);
}

int session::show_configuration(argument_list) {
    return this->show(api + "configuration", configuration_text);
}

int session::export_configuration(argument_list) {
    return this->show(api + "configuration", unchanged);
}

int session::check_configuration(argument_list arguments) {
    const auto body = read_file(arguments[0]);
    if (!body)
        return usage;
    const auto result = this->client.call("POST", api + "configuration/check", *body);
    if (!result.response)
        return this->report_failure(result);
    return this->print(*result.response, [](std::string_view) { return std::string("valid\n"); });
}

// Without --if-version the version in the file is required, so that applying an edited export
// cannot overwrite changes made since the export.
int session::apply_configuration(argument_list arguments) {
    const auto body = read_file(arguments[0]);
    if (!body)
        return usage;
    if (this->command_options.if_version)
        return this->change("PUT", api + "configuration", *body);
    auto with_version = this->command_options;
    with_version.if_version = std::stoull(version_of(*body));
    return session(with_version, this->client).change("PUT", api + "configuration", *body);
}

int session::timeline(argument_list arguments) {
    std::vector<std::string> texts;
    texts.reserve(arguments.size());
    for (const auto& file : arguments) {
        auto text = read_file(file);
        if (!text)
            return usage;
        texts.push_back(std::move(*text));
    }
    std::vector<debug::log_text> logs;
    for (std::size_t i = 0; i < texts.size(); ++i)
        logs.push_back({arguments[i], texts[i]});
    const auto merged = debug::merge_logs(logs);
    if (this->command_options.html_file.empty()) {
        std::cout << debug::timeline_text(merged);
        return success;
    }
    return write_file(this->command_options.html_file, debug::timeline_html(merged)) ? success
                                                                                     : usage;
}

} // namespace samphirespool::ctl
