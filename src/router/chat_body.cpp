// Looks at the fields of the body that matter here.
#include "router/chat_body.hpp"

#include "router/json_cursor.hpp"

#include <charconv>

namespace samphirespool::router {

namespace {

// The text of a content that is a string, or of the parts of one that is an array.
void read_content(json_cursor& cursor, std::vector<std::string_view>& texts) {
    if (!cursor.enter_array()) {
        texts.push_back(cursor.string_value());
        return;
    }
    while (cursor.next_element()) {
        if (!cursor.enter_object()) {
            cursor.raw_value();
            continue;
        }
        std::string_view name;
        while (cursor.next_field(name)) {
            const auto value = cursor.string_value();
            if (name == "text")
                texts.push_back(value);
        }
    }
}

// Returns the message's role.
std::string_view read_message(json_cursor& cursor, std::vector<std::string_view>& texts) {
    std::string_view role;
    std::string_view name;
    while (cursor.next_field(name)) {
        if (name == "content")
            read_content(cursor, texts);
        else if (name == "role")
            role = cursor.string_value();
        else
            cursor.raw_value();
    }
    return role;
}

void read_messages(json_cursor& cursor, std::vector<std::string_view>& opening) {
    if (!cursor.enter_array()) {
        cursor.raw_value();
        return;
    }
    bool is_opening = true;
    while (cursor.next_element()) {
        if (is_opening && cursor.enter_object())
            is_opening = read_message(cursor, opening) != "user";
        else
            cursor.raw_value();
    }
}

std::uint64_t to_number(std::string_view text) {
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace

std::optional<chat_body> read_chat_body(std::string_view text) {
    chat_body body;
    json_cursor cursor(text);
    if (!cursor.enter_object())
        return std::nullopt;
    std::string_view name;
    while (cursor.next_field(name)) {
        if (name == "messages") {
            read_messages(cursor, body.opening_messages);
            continue;
        }
        const auto value = cursor.raw_value();
        if (name == "model" && value.size() >= 2 && value.front() == '"')
            body.model = value.substr(1, value.size() - 2);
        else if (name == "stream")
            body.stream = value == "true";
        else if (name == "max_tokens" || name == "max_completion_tokens")
            body.max_tokens = to_number(value);
    }
    if (!cursor.good())
        return std::nullopt;
    return body;
}

} // namespace samphirespool::router
