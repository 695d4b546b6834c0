// Applies pages and collects differences.
#include "exchange/feed_log.hpp"

#include <algorithm>

namespace samphirespool::exchange {

std::size_t feed_difference::bytes() const {
    std::size_t sum = 0;
    for (const auto& each : this->changes)
        sum += each.name.size() + each.content.size();
    if (this->all_names)
        for (const auto& each : *this->all_names)
            sum += each.size();
    return sum;
}

void feed_log::apply(const discovery::feed_page& page) {
    if (!this->is_loaded && !page.all_names)
        return;
    if (page.era > this->era) {
        *this = feed_log();
        this->era = page.era;
    }
    this->is_loaded = true;
    for (const auto& object : page.objects) {
        if (object.is_removed)
            this->remove(object.name, page.revision);
        else
            this->set(object, page.revision);
    }
    if (page.all_names) {
        // Objects that were created and removed since the previous page are unknown here.
        this->base_revision = page.revision;
        this->remove_others(*page.all_names, page.revision);
    }
    this->forget_oldest_removals();
}

void feed_log::set(const discovery::feed_object& object, std::uint64_t page_revision) {
    auto& stored = this->objects[object.name];
    this->by_revision.erase({stored.revision, object.name});
    stored.content = object.content;
    // Without a stated revision the page's is an upper bound.
    stored.revision = object.revision != 0 ? object.revision : page_revision;
    this->by_revision.emplace(stored.revision, object.name);
}

// The revision of a removal is not stated; the page's is an upper bound.
void feed_log::remove(const std::string& name, std::uint64_t revision) {
    const auto found = this->objects.find(name);
    if (found == this->objects.end())
        return;
    this->by_revision.erase({found->second.revision, name});
    this->objects.erase(found);
    this->removals.emplace(revision, name);
}

void feed_log::remove_others(const std::vector<std::string>& names, std::uint64_t revision) {
    const std::set<std::string_view> existing(names.begin(), names.end());
    std::vector<std::string> others;
    for (const auto& [name, stored] : this->objects)
        if (!existing.contains(name))
            others.push_back(name);
    for (const auto& name : others)
        this->remove(name, revision);
}

void feed_log::forget_oldest_removals() {
    while (this->removals.size() > max_removals) {
        this->base_revision = std::max(this->base_revision, this->removals.begin()->first);
        this->removals.erase(this->removals.begin());
    }
}

std::optional<feed_difference>
feed_log::changes_since(const discovery::source_position& since) const {
    if (!this->is_loaded)
        return std::nullopt;
    const bool is_other_era = since.era != 0 && since.era != this->era;
    const auto revision = is_other_era ? 0 : since.revision;
    feed_difference result;
    const position start{revision + 1, std::string()};
    for (auto each = this->by_revision.lower_bound(start); each != this->by_revision.end();
         ++each) {
        const auto& stored = this->objects.find(each->second)->second;
        result.changes.push_back({each->second, stored.content, false, stored.revision});
    }
    if (revision < this->base_revision) {
        result.all_names.emplace();
        for (const auto& [name, stored] : this->objects)
            result.all_names->push_back(name);
        return result;
    }
    for (auto each = this->removals.lower_bound(start); each != this->removals.end(); ++each)
        if (!this->objects.contains(each->second))
            result.changes.push_back({each->second, {}, true, each->first});
    return result;
}

} // namespace samphirespool::exchange
