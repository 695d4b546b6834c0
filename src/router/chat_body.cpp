// Reads the body in one pass without building a document.
#include "router/chat_body.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace samphirespool::router {

namespace {

using nlohmann::json;

constexpr std::size_t field_depth = 1;
constexpr std::size_t message_depth = 3;
constexpr std::size_t part_depth = 5;

class chat_reader final : public nlohmann::json_sax<json> {
public:
    explicit chat_reader(chat_body& body) : body(body) {}

    bool start_object(std::size_t) override { return this->enter(); }
    bool start_array(std::size_t) override { return this->enter(); }
    bool end_array() override { return this->leave(); }
    bool end_object() override {
        if (this->depth == message_depth && this->in_messages)
            this->end_message();
        return this->leave();
    }

    bool key(string_t& name) override {
        if (this->depth == field_depth) {
            this->in_messages = name == "messages";
            this->field = name;
        }
        if (this->depth == message_depth)
            this->message_field = name;
        if (this->depth == part_depth)
            this->part_field = name;
        return true;
    }

    bool string(string_t& value) override {
        if (this->depth == field_depth && this->field == "model")
            this->body.model = value;
        if (!this->in_messages || this->opening_complete)
            return true;
        if (this->depth == message_depth && this->message_field == "role")
            this->role = value;
        const bool is_content =
            (this->depth == message_depth && this->message_field == "content") ||
            (this->depth == part_depth && this->message_field == "content" &&
             this->part_field == "text");
        if (is_content)
            this->content += value;
        return true;
    }

    bool boolean(bool value) override {
        if (this->depth == field_depth && this->field == "stream")
            this->body.stream = value;
        return true;
    }

    bool number_unsigned(number_unsigned_t value) override {
        if (this->depth == field_depth &&
            (this->field == "max_tokens" || this->field == "max_completion_tokens"))
            this->body.max_tokens = value;
        return true;
    }

    bool null() override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool parse_error(std::size_t, const std::string&, const json::exception&) override {
        return false;
    }

private:
    bool enter() {
        ++this->depth;
        return true;
    }

    bool leave() {
        --this->depth;
        return true;
    }

    void end_message() {
        if (!this->opening_complete)
            this->body.opening_messages.push_back(std::move(this->content));
        this->opening_complete = this->opening_complete || this->role == "user";
        this->content.clear();
        this->role.clear();
    }

    chat_body& body;
    std::size_t depth = 0;
    bool in_messages = false;
    bool opening_complete = false;
    std::string field;
    std::string message_field;
    std::string part_field;
    std::string role;
    std::string content;
};

bool is_object(std::string_view text) {
    const auto first = text.find_first_not_of(" \t\r\n");
    return first != std::string_view::npos && text[first] == '{';
}

} // namespace

std::optional<chat_body> read_chat_body(std::string_view text) {
    chat_body body;
    chat_reader reader(body);
    if (!is_object(text) || !json::sax_parse(text.begin(), text.end(), &reader))
        return std::nullopt;
    return body;
}

} // namespace samphirespool::router
