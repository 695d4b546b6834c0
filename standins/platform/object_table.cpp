// Conditional updates; all keys share one version counter.
#include "standins/platform/object_table.hpp"

namespace samphirespool::standins {

const stored_object* object_table::find(std::string_view key) const {
    const auto found = this->objects.find(key);
    return found == this->objects.end() ? nullptr : &found->second;
}

update_result object_table::put(std::string_view key, std::optional<std::uint64_t> expected,
                                std::string value) {
    const auto* present = this->find(key);
    const auto current = present == nullptr ? 0 : present->version;
    if (expected && *expected != current)
        return {update_status::conflict, current};
    const auto version = ++this->last_version;
    this->objects.insert_or_assign(std::string(key), stored_object{version, std::move(value)});
    return {update_status::ok, version};
}

update_result object_table::remove(std::string_view key, std::optional<std::uint64_t> expected) {
    const auto found = this->objects.find(key);
    if (found == this->objects.end())
        return {update_status::not_found, 0};
    if (expected && *expected != found->second.version)
        return {update_status::conflict, found->second.version};
    this->objects.erase(found);
    return {update_status::ok, ++this->last_version};
}

void object_table::visit(std::string_view prefix, const visitor& visit) const {
    for (auto at = this->objects.lower_bound(prefix); at != this->objects.end(); ++at) {
        if (!at->first.starts_with(prefix))
            return;
        visit(at->first, at->second);
    }
}

} // namespace samphirespool::standins
