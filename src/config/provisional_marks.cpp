// Implementation of the set of provisional marks and its merge with the accepted marks.
#include "config/provisional_marks.hpp"

#include "helpers/ids.hpp"

#include <algorithm>

namespace samphirespool::config {

namespace {

// Whether the mark was accepted itself or was taken into account by a later accepted mark.
bool is_settled(const provisional_mark& mark, const stored_root& accepted) {
    if (accepted.recent.contains(mark.id))
        return true;
    const auto it = accepted.settled.find(settled_key(mark.subject, mark.name));
    if (it == accepted.settled.end())
        return false;
    return std::find(it->second.begin(), it->second.end(), mark.id) != it->second.end();
}

} // namespace

std::string settled_key(mark_subject subject, std::string_view name) {
    const std::string_view prefix = subject == mark_subject::data_centre ? "dc/" : "vm/";
    return std::string(prefix) + std::string(name);
}

bool provisional_marks::add(const provisional_mark& mark, const stored_root& accepted) {
    if (this->marks.size() >= capacity || is_settled(mark, accepted))
        return false;
    return this->marks.emplace(mark.id, mark).second;
}

bool provisional_marks::remove_settled(const stored_root& accepted) {
    return std::erase_if(this->marks, [&accepted](const auto& entry) {
               return is_settled(entry.second, accepted);
           }) > 0;
}

void provisional_marks::overlay(fleet_configuration& configuration) const {
    for (const auto& [id, provisional] : this->marks) {
        auto& marks = provisional.subject == mark_subject::data_centre
                          ? configuration.data_centre_marks
                          : configuration.vm_marks;
        const auto [it, added] =
            marks.try_emplace(provisional.name, mark{mark_state::leaving, provisional.since});
        if (!added && it->second.state == mark_state::returning)
            it->second = {mark_state::leaving, provisional.since};
    }
}

std::vector<std::string> provisional_marks::ids_for(mark_subject subject,
                                                    std::string_view name) const {
    std::vector<std::string> result;
    for (const auto& [id, provisional] : this->marks)
        if (provisional.subject == subject && provisional.name == name)
            result.push_back(id);
    return result;
}

std::uint64_t provisional_marks::digest() const {
    std::uint64_t result = 0;
    for (const auto& [id, provisional] : this->marks)
        result ^= helpers::hash_name(id);
    return result;
}

} // namespace samphirespool::config
