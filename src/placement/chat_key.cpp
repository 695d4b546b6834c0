// Hashes the caller's name of a chat or the beginning of its text.
#include "placement/chat_key.hpp"

#include <algorithm>
#include <xxhash.h>

namespace samphirespool::placement {

namespace {

std::uint64_t combine(std::uint64_t hash, std::string_view text) {
    return XXH64(text.data(), text.size(), hash);
}

helpers::chat_key never_empty(std::uint64_t hash) {
    return helpers::chat_key{hash == no_chat.value ? 1 : hash};
}

} // namespace

helpers::chat_key make_chat_key(std::string_view named, helpers::organisation_id organisation,
                                std::string_view model,
                                std::span<const std::string_view> opening_messages) {
    if (!named.empty())
        return never_empty(combine(organisation.value, named));
    if (opening_messages.empty())
        return no_chat;
    auto hash = combine(0, model);
    auto left = leading_bytes;
    for (const auto message : opening_messages) {
        const auto part = message.substr(0, std::min(left, message.size()));
        hash = combine(hash, part);
        left -= part.size();
        if (left == 0)
            break;
    }
    return never_empty(hash);
}

} // namespace samphirespool::placement
