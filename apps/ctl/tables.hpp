// Formats the administration API's JSON responses as text.
#pragma once

#include <string>
#include <string_view>

namespace samphirespool::ctl {

std::string status_text(std::string_view json);
std::string members_table(std::string_view json);
std::string targets_table(std::string_view json);
std::string marks_table(std::string_view json);
std::string organisations_table(std::string_view json);
std::string services_table(std::string_view json);
std::string presets_table(std::string_view json);
std::string preset_text(std::string_view json);
// Version, preset in force, and the number of documents of each kind.
std::string configuration_text(std::string_view json);

// The message and the faults in the response to a change, or the error in an error response; the
// unchanged text if it is not a JSON object.
std::string message_text(std::string_view json);

// The member "next" of a page of organisations; empty on the last page.
std::string next_page(std::string_view json);

// The member "version" of a configuration file, or 0 if it has none.
std::string version_of(std::string_view json);

} // namespace samphirespool::ctl
