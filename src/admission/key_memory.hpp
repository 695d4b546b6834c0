// Remembers where the requests of a chat key ran lately, so that the owner can prefer a target that
// holds the key's prefix over one that ranks higher but does not. A hint only: bounded, lost with
// its owner, and never needed to place a request.
#pragma once

#include "helpers/ids.hpp"

#include <array>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace samphirespool::admission {

class key_memory {
public:
    static constexpr std::size_t targets_per_key = 8;

    explicit key_memory(std::size_t capacity = 32'768) : capacity(capacity) {}

    // The key ran on this life of the target. The key's oldest target makes room.
    void note(helpers::chat_key key, helpers::target_id target, std::uint64_t incarnation);

    // Whether the key ran on this life of the target, as far as remembered.
    bool ran_on(helpers::chat_key key, helpers::target_id target, std::uint64_t incarnation) const;

    bool knows(helpers::chat_key key) const { return this->keys.contains(key); }
    std::size_t size() const { return this->keys.size(); }

private:
    struct use {
        helpers::target_id target;
        std::uint64_t incarnation = 0;

        friend bool operator==(const use&, const use&) = default;
    };

    struct record {
        // Most recent first; unused places have no target.
        std::array<use, targets_per_key> uses{};
        std::list<helpers::chat_key>::iterator position;
    };

    std::size_t capacity;
    // Most recently used first. Invariant: holds exactly the members of `keys`, at most `capacity`.
    std::list<helpers::chat_key> order;
    std::unordered_map<helpers::chat_key, record> keys;
};

} // namespace samphirespool::admission
