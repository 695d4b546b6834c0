// Bounded LRU record of the targets on which requests of a chat key ran recently, so that the shard
// owner can prefer a target that has cached the key's prefix over a higher-ranked one that has not.
// Only a hint: it is lost when the owner stops, and requests are placed without it.
#pragma once

#include "helpers/ids.hpp"

#include <array>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace samphirespool::admission {

class chat_target_history {
public:
    static constexpr std::size_t targets_per_key = 8;

    explicit chat_target_history(std::size_t capacity = 32'768) : capacity(capacity) {}

    // Records that a request of the key ran on this incarnation of the target. Replaces the key's
    // oldest entry if it has targets_per_key already.
    void record(helpers::chat_key key, helpers::target_id target, std::uint64_t incarnation);

    // Returns whether a request of the key is recorded for this incarnation of the target.
    bool ran_on(helpers::chat_key key, helpers::target_id target, std::uint64_t incarnation) const;

    bool contains(helpers::chat_key key) const { return this->keys.contains(key); }
    std::size_t size() const { return this->keys.size(); }

private:
    struct target_run {
        helpers::target_id target;
        std::uint64_t incarnation = 0;

        friend bool operator==(const target_run&, const target_run&) = default;
    };

    struct key_entry {
        // Most recent first; unused elements have target 0.
        std::array<target_run, targets_per_key> recent{};
        std::list<helpers::chat_key>::iterator position;
    };

    std::size_t capacity;
    // Most recently used first. Invariant: holds exactly the members of `keys`, at most `capacity`.
    std::list<helpers::chat_key> recency;
    std::unordered_map<helpers::chat_key, key_entry> keys;
};

} // namespace samphirespool::admission
