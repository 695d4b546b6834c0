// Turns the administration API's JSON answers into text for people.
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
// Version, preset in force and how many documents there are.
std::string configuration_text(std::string_view json);

// The message and the faults of an answer to a change or of an error; the text itself if it is no
// JSON.
std::string message_text(std::string_view json);

// The member "next" of a page of organisations; empty at the end.
std::string next_page(std::string_view json);

// The member "version" of a configuration file; 0 if it has none.
std::string version_of(std::string_view json);

} // namespace samphirespool::ctl
