// The key by which requests of one conversation, and conversations with a long shared beginning,
// meet on the same engine.
#pragma once

#include "helpers/ids.hpp"

#include <cstddef>
#include <span>
#include <string_view>

namespace samphirespool::placement {

// Key of a request that belongs to no conversation: strategies spread such requests by load.
inline constexpr helpers::chat_key no_chat{0};

// As much of the conversation as decides its key. Long enough to tell documents behind a common
// instruction apart, short enough that all questions on one document meet.
inline constexpr std::size_t leading_bytes = 4096;

// `named` is the value of the caller's header and counts within the organisation only; if it is
// empty, the leading part of the messages' contents decides, over organisations, since engines
// share cached prefixes over organisations too. Only messages up to the first one by the user
// count, so that the key stays the same while the conversation grows. Never no_chat, except when
// there is neither a name nor a message.
helpers::chat_key make_chat_key(std::string_view named, helpers::organisation_id organisation,
                                std::string_view model,
                                std::span<const std::string_view> opening_messages);

} // namespace samphirespool::placement
