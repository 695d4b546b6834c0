// Skips values; strings by searching for the quote that ends them.
#include "router/json_cursor.hpp"

#include <algorithm>

namespace samphirespool::router {

namespace {

constexpr std::string_view spaces = " \t\r\n";
constexpr std::string_view ends_of_scalars = ",]} \t\r\n";
constexpr std::string_view brackets_and_quotes = "{}[]\"";

} // namespace

char json_cursor::peek() {
    this->at = this->text.find_first_not_of(spaces, this->at);
    if (this->at != std::string_view::npos)
        return this->text[this->at];
    this->at = this->text.size();
    this->fail();
    return '\0';
}

bool json_cursor::take(char wanted) {
    if (this->failed || this->peek() != wanted)
        return false;
    ++this->at;
    this->is_first = true;
    return true;
}

bool json_cursor::continues(char closing) {
    if (this->failed)
        return false;
    auto next = this->peek();
    if (next == closing) {
        ++this->at;
        this->is_first = false;
        return false;
    }
    if (this->is_first) {
        this->is_first = false;
        return !this->failed;
    }
    if (next != ',') {
        this->fail();
        return false;
    }
    ++this->at;
    return true;
}

bool json_cursor::next_field(std::string_view& name) {
    if (!this->continues('}'))
        return false;
    if (this->peek() != '"') {
        this->fail();
        return false;
    }
    name = this->string_value();
    if (this->failed || this->peek() != ':') {
        this->fail();
        return false;
    }
    ++this->at;
    return true;
}

bool json_cursor::next_element() {
    return this->continues(']');
}

std::string_view json_cursor::string_value() {
    const auto raw = this->raw_value();
    return raw.starts_with('"') ? raw.substr(1, raw.size() - 2) : std::string_view();
}

std::string_view json_cursor::raw_value() {
    if (this->failed)
        return {};
    const auto next = this->peek();
    const auto start = this->at;
    if (next == '"')
        this->skip_string();
    else if (next == '{' || next == '[')
        this->skip_nested();
    else
        this->at = std::min(this->text.find_first_of(ends_of_scalars, this->at), this->text.size());
    if (this->at == start)
        this->fail();
    this->is_first = false;
    return this->failed ? std::string_view() : this->text.substr(start, this->at - start);
}

// Starts on the opening quote, ends behind the closing one.
void json_cursor::skip_string() {
    auto search = this->at + 1;
    for (;;) {
        const auto quote = this->text.find('"', search);
        if (quote == std::string_view::npos) {
            this->fail();
            return;
        }
        std::size_t backslashes = 0;
        while (this->text[quote - 1 - backslashes] == '\\')
            ++backslashes;
        search = quote + 1;
        if (backslashes % 2 != 0)
            continue;
        this->at = search;
        return;
    }
}

void json_cursor::skip_nested() {
    std::size_t depth = 0;
    do {
        const auto next = this->text.find_first_of(brackets_and_quotes, this->at);
        if (next == std::string_view::npos) {
            this->fail();
            return;
        }
        this->at = next;
        const auto found = this->text[next];
        if (found == '"') {
            this->skip_string();
            continue;
        }
        ++this->at;
        depth += found == '{' || found == '[' ? 1 : -1;
    } while (depth > 0 && !this->failed);
}

} // namespace samphirespool::router
