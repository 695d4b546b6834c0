// What the router needs to know of a chat completion's JSON body.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace samphirespool::router {

// Views into the text that was read; strings as they stand there, with their escapes.
struct chat_body {
    std::string_view model;
    bool stream = false;
    // 0 if the caller gave none.
    std::uint64_t max_tokens = 0;
    // Contents of the messages up to the first one by the user.
    std::vector<std::string_view> opening_messages;
};

// Returns nothing if the text is no JSON object. Details that do not matter here are not checked.
std::optional<chat_body> read_chat_body(std::string_view text);

} // namespace samphirespool::router
