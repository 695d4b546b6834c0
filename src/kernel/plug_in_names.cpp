// The table of plug-in names, created on first use because registrations run before main().
#include "kernel/plug_in_names.hpp"

#include <map>

namespace samphirespool::kernel {

namespace {

std::map<std::string, name_set, std::less<>>& names_by_kind() {
    static std::map<std::string, name_set, std::less<>> table;
    return table;
}

} // namespace

void add_plug_in_name(std::string_view kind, std::string_view name) {
    names_by_kind()[std::string(kind)].emplace(name);
}

const name_set& plug_in_names(std::string_view kind) {
    static const name_set none;
    const auto found = names_by_kind().find(kind);
    return found == names_by_kind().end() ? none : found->second;
}

} // namespace samphirespool::kernel
