// Reads the body with simdjson, which keeps the loop free for others even when a body is large.
#include "router/chat_body.hpp"

#include <simdjson.h>

namespace samphirespool::router {

namespace {

using simdjson::dom::object;

// Empty if the field is missing or no string.
std::string_view string_field(const object& from, std::string_view name) {
    std::string_view value;
    return from[name].get(value) == simdjson::SUCCESS ? value : std::string_view();
}

// The text of a content that is a string, or of the parts of one that is an array.
std::string content_of(const object& message) {
    std::string result(string_field(message, "content"));
    simdjson::dom::array parts;
    if (message["content"].get(parts) != simdjson::SUCCESS)
        return result;
    for (const auto part : parts) {
        object each;
        if (part.get(each) == simdjson::SUCCESS)
            result += string_field(each, "text");
    }
    return result;
}

std::vector<std::string> opening_of(const object& body) {
    std::vector<std::string> result;
    simdjson::dom::array messages;
    if (body["messages"].get(messages) != simdjson::SUCCESS)
        return result;
    for (const auto each : messages) {
        object message;
        if (each.get(message) != simdjson::SUCCESS)
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

std::optional<chat_body> read_chat_body(std::string_view text) {
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
    result.opening_messages = opening_of(body);
    return result;
}

} // namespace samphirespool::router
