// Parses the fields of a chat completion's JSON body that routing depends on.
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
    // Limit on generated tokens; 0 if the caller set none.
    std::uint64_t max_tokens = 0;
    // Temperature 0: every engine that serves the model generates the same text.
    bool is_deterministic = false;
    // Contents of the messages up to and including the first user message.
    std::vector<std::string> opening_messages;
};

// Returns nullopt if the text is not a JSON object.
std::optional<chat_body> parse_chat_body(std::string_view text);

} // namespace samphirespool::router
