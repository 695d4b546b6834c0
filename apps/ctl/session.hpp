// The commands of samphirespoolctl.
#pragma once

#include "apps/ctl/admin_client.hpp"
#include "apps/ctl/options.hpp"

#include <span>
#include <string>
#include <string_view>

namespace samphirespool::ctl {

// Runs one command against a router. Each command is a member function that returns the exit code.
class session {
public:
    using argument_list = std::span<const std::string>;

    session(const options& command_options, admin_client& client)
        : command_options(command_options), client(client) {}

    int status(argument_list arguments);
    int members(argument_list arguments);
    int targets(argument_list arguments);
    int metrics(argument_list arguments);
    int show_preset(argument_list arguments);
    int use_preset(argument_list arguments);
    int marks(argument_list arguments);
    int mark(argument_list arguments);
    int list_organisations(argument_list arguments);
    int show_organisation(argument_list arguments);
    int put_organisation(argument_list arguments);
    int remove_organisation(argument_list arguments);
    int list_services(argument_list arguments);
    int put_service(argument_list arguments);
    int list_presets(argument_list arguments);
    int put_preset(argument_list arguments);
    int show_configuration(argument_list arguments);
    int export_configuration(argument_list arguments);
    int check_configuration(argument_list arguments);
    int apply_configuration(argument_list arguments);
    int timeline(argument_list arguments);

private:
    using text_writer = std::string (*)(std::string_view json);

    // Sends a GET request and prints the response: as it is with --json, else formatted by write.
    int show(const std::string& path, text_writer write);
    int print(const admin_response& response, text_writer write) const;
    // Prints why there is no response.
    int report_failure(const call_result& result) const;
    // Sends a file's content as a change.
    int put_file(const std::string& path, const std::string& file);
    // Adds the request id and the required version to the path, sends the change and prints its
    // outcome.
    int change(std::string_view method, const std::string& path, const std::string& body);

    const options& command_options;
    admin_client& client;
};

} // namespace samphirespool::ctl
