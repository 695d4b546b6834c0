// Names of the registered plug-ins by kind, for components that validate a plug-in name without
// including the plug-in's interface.
#pragma once

#include <set>
#include <string>
#include <string_view>

namespace samphirespool::kernel {

using name_set = std::set<std::string, std::less<>>;

// Called by registry::add(); kind is the interface's plug_in_kind.
void add_plug_in_name(std::string_view kind, std::string_view name);

// The registered names of a kind; empty for an unknown kind.
const name_set& plug_in_names(std::string_view kind);

} // namespace samphirespool::kernel
