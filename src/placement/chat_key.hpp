// The chat key, by which requests of one conversation, and conversations with a long shared prefix,
// are placed on the same engine.
#pragma once

#include "helpers/ids.hpp"

#include <cstddef>
#include <span>
#include <string_view>

namespace samphirespool::placement {

// Key of a request without a conversation; strategies place such requests by load.
inline constexpr helpers::chat_key no_chat{0};

// Number of leading bytes of a conversation that determine its key. Long enough to distinguish
// documents that follow a common instruction, short enough that all questions about one document
// get the same key.
inline constexpr std::size_t leading_bytes = 4096;

// `named` is the value of the caller's header; it is a key within the organisation only. If it is
// empty, the key is made from the leading bytes of the messages' contents, across organisations,
// since engines share cached prefixes across organisations too. `opening_messages` ends with the
// first message of the user, so that the key stays the same while the conversation grows. Returns
// no_chat only if there is neither a name nor a message.
helpers::chat_key make_chat_key(std::string_view named, helpers::organisation_id organisation,
                                std::string_view model,
                                std::span<const std::string_view> opening_messages);

} // namespace samphirespool::placement
