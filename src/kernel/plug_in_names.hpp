// Names of the registered plug-ins by kind, for checks in parts that do not know the plug-ins'
// interface.
#pragma once

#include <set>
#include <string>
#include <string_view>

namespace samphirespool::kernel {

using name_set = std::set<std::string, std::less<>>;

void add_plug_in_name(std::string_view kind, std::string_view name);

// Empty for an unknown kind.
const name_set& plug_in_names(std::string_view kind);

} // namespace samphirespool::kernel
