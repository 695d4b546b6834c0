// Appends, evicts and collects feed changes.
#include "exchange/feed_log.hpp"

#include <algorithm>
#include <set>
#include <string_view>

namespace samphirespool::exchange {

void feed_log::reset(std::uint64_t revision) {
    this->entries.clear();
    this->bytes = 0;
    this->base_revision = revision;
    this->has_base = true;
}

void feed_log::append(const discovery::feed_page& page) {
    if (!this->has_base || page.objects.empty())
        return;
    std::size_t size = 0;
    for (const auto& object : page.objects)
        size += object.name.size() + object.content.size();
    this->entries.push_back({page.revision, page.objects, size});
    this->bytes += size;
    while (this->bytes > max_bytes && !this->entries.empty()) {
        this->base_revision = this->entries.front().revision;
        this->bytes -= this->entries.front().bytes;
        this->entries.pop_front();
    }
}

std::optional<std::vector<discovery::feed_object>>
feed_log::changes_since(std::uint64_t revision) const {
    if (!this->has_base || revision < this->base_revision)
        return std::nullopt;
    // From the newest entry backwards, so that only the latest state of each object is returned.
    std::vector<discovery::feed_object> result;
    std::set<std::string_view> added_names;
    for (auto each = this->entries.rbegin(); each != this->entries.rend(); ++each) {
        if (each->revision <= revision)
            break;
        for (auto object = each->objects.rbegin(); object != each->objects.rend(); ++object)
            if (added_names.insert(object->name).second)
                result.push_back(*object);
    }
    std::reverse(result.begin(), result.end());
    return result;
}

} // namespace samphirespool::exchange
