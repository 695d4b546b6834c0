// A bounded map from key to its last targets.
#include "admission/key_memory.hpp"

#include <algorithm>

namespace samphirespool::admission {

void key_memory::note(helpers::chat_key key, helpers::target_id target, std::uint64_t incarnation) {
    auto found = this->keys.find(key);
    if (found == this->keys.end()) {
        if (this->keys.size() >= this->capacity) {
            this->keys.erase(this->order.back());
            this->order.pop_back();
        }
        this->order.push_front(key);
        found = this->keys.emplace(key, record{{}, this->order.begin()}).first;
    }
    this->order.splice(this->order.begin(), this->order, found->second.position);
    auto& uses = found->second.uses;
    const use latest{target, incarnation};
    // An unknown target replaces the oldest use; a known one moves to the front.
    auto place = std::ranges::find(uses, latest);
    if (place == uses.end())
        place = std::prev(uses.end());
    std::rotate(uses.begin(), place, std::next(place));
    uses.front() = latest;
}

bool key_memory::ran_on(helpers::chat_key key, helpers::target_id target,
                        std::uint64_t incarnation) const {
    const auto found = this->keys.find(key);
    if (found == this->keys.end())
        return false;
    return std::ranges::find(found->second.uses, use{target, incarnation}) !=
           found->second.uses.end();
}

} // namespace samphirespool::admission
