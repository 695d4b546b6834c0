// LRU map from chat key to its most recent targets.
#include "admission/chat_target_history.hpp"

#include <algorithm>

namespace samphirespool::admission {

void chat_target_history::record(helpers::chat_key key, helpers::target_id target,
                                 std::uint64_t incarnation) {
    auto found = this->keys.find(key);
    if (found == this->keys.end()) {
        if (this->keys.size() >= this->capacity) {
            this->keys.erase(this->recency.back());
            this->recency.pop_back();
        }
        this->recency.push_front(key);
        found = this->keys.emplace(key, key_entry{{}, this->recency.begin()}).first;
    }
    this->recency.splice(this->recency.begin(), this->recency, found->second.position);
    auto& recent = found->second.recent;
    const target_run latest{target, incarnation};
    // A new target replaces the oldest one; a recorded target moves to the front.
    auto position = std::ranges::find(recent, latest);
    if (position == recent.end())
        position = std::prev(recent.end());
    std::rotate(recent.begin(), position, std::next(position));
    recent.front() = latest;
}

bool chat_target_history::ran_on(helpers::chat_key key, helpers::target_id target,
                                 std::uint64_t incarnation) const {
    const auto found = this->keys.find(key);
    if (found == this->keys.end())
        return false;
    return std::ranges::find(found->second.recent, target_run{target, incarnation}) !=
           found->second.recent.end();
}

} // namespace samphirespool::admission
