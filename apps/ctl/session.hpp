// One run of samphirespoolctl: the commands, each a member that returns the exit code.
#pragma once

#include "apps/ctl/admin_client.hpp"
#include "apps/ctl/options.hpp"

#include <span>
#include <string>
#include <string_view>

namespace samphirespool::ctl {

class session {
public:
    using words = std::span<const std::string>;

    session(const options& wanted, admin_client& client) : wanted(wanted), client(client) {}

    int status(words arguments);
    int members(words arguments);
    int targets(words arguments);
    int metrics(words arguments);
    int show_preset(words arguments);
    int use_preset(words arguments);
    int marks(words arguments);
    int mark(words arguments);
    int list_organisations(words arguments);
    int show_organisation(words arguments);
    int put_organisation(words arguments);
    int remove_organisation(words arguments);
    int list_services(words arguments);
    int put_service(words arguments);
    int list_presets(words arguments);
    int put_preset(words arguments);
    int show_configuration(words arguments);
    int export_configuration(words arguments);
    int check_configuration(words arguments);
    int apply_configuration(words arguments);
    int timeline(words arguments);

private:
    using text_writer = std::string (*)(std::string_view json);

    // Reads and prints; with --json the answer as it came.
    int show(const std::string& path, text_writer write);
    int print(const admin_answer& answer, text_writer write) const;
    int report_failure(const call_result& result) const;
    int put_file(const std::string& path, const std::string& file);
    // Adds request id and version to the path, sends the change and prints the outcome.
    int change(std::string_view method, const std::string& path, const std::string& body);

    const options& wanted;
    admin_client& client;
};

} // namespace samphirespool::ctl
