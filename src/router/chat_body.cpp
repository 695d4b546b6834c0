// Parses with simdjson, which is fast enough not to stall the event loop on large bodies.
#include "router/chat_body.hpp"

#include <simdjson.h>

namespace samphirespool::router {

namespace {

using simdjson::dom::object;

// Returns an empty view if the field is missing or not a string.
std::string_view string_field(const object& source, std::string_view name) {
    std::string_view value;
    return source[name].get(value) == simdjson::SUCCESS ? value : std::string_view();
}

// The content of a message is a string or an array of parts, whose texts are concatenated.
std::string content_of(const object& message) {
    std::string result(string_field(message, "content"));
    simdjson::dom::array parts;
    if (message["content"].get(parts) != simdjson::SUCCESS)
        return result;
    for (const auto part : parts) {
        object fields;
        if (part.get(fields) == simdjson::SUCCESS)
            result += string_field(fields, "text");
    }
    return result;
}

std::vector<std::string> opening_messages_of(const object& body) {
    std::vector<std::string> result;
    simdjson::dom::array messages;
    if (body["messages"].get(messages) != simdjson::SUCCESS)
        return result;
    for (const auto element : messages) {
        object message;
        if (element.get(message) != simdjson::SUCCESS)
            continue;
        result.push_back(content_of(message));
        if (string_field(message, "role") == "user")
            break;
    }
    return result;
}

std::uint64_t max_tokens_of(const object& body) {
    std::uint64_t result = 0;
    for (const auto* name : {"max_tokens", "max_completion_tokens"})
        if (body[name].get(result) == simdjson::SUCCESS)
            return result;
    return 0;
}

} // namespace

std::optional<chat_body> parse_chat_body(std::string_view text) {
    simdjson::dom::parser parser;
    object body;
    if (parser.parse(text.data(), text.size()).get(body) != simdjson::SUCCESS)
        return std::nullopt;
    chat_body result;
    result.model = string_field(body, "model");
    bool stream = false;
    result.stream = body["stream"].get(stream) == simdjson::SUCCESS && stream;
    double temperature = 1;
    result.is_deterministic =
        body["temperature"].get(temperature) == simdjson::SUCCESS && temperature == 0;
    result.max_tokens = max_tokens_of(body);
    result.opening_messages = opening_messages_of(body);
    return result;
}

} // namespace samphirespool::router
