// What the router needs to know of a chat completion's JSON body.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphirespool::router {

struct chat_body {
    std::string model;
    bool stream = false;
    // 0 if the caller gave none.
    std::uint64_t max_tokens = 0;
    // The caller asked for temperature 0: any engine with the model gives the same text.
    bool is_deterministic = false;
    // Contents of the messages up to the first one by the user.
    std::vector<std::string> opening_messages;
};

// Returns nothing if the text is no JSON object.
std::optional<chat_body> read_chat_body(std::string_view text);

} // namespace samphirespool::router
