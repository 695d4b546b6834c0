// Walks over JSON text without copying or building anything, so that a body of megabytes costs the
// loop no more than a search for quotes. It finds fields; whether the text is valid in all details
// is left to its real reader.
#pragma once

#include <cstddef>
#include <string_view>

namespace samphirespool::router {

class json_cursor {
public:
    explicit json_cursor(std::string_view text) : text(text) {}

    // False once the text turned out malformed; then nothing moves any more.
    bool good() const { return !this->failed; }

    // Steps into an object or array. False if the next value is none.
    bool enter_object() { return this->take('{'); }
    bool enter_array() { return this->take('['); }

    // In an object: reads the next field's name and steps to its value. False at the end.
    bool next_field(std::string_view& name);

    // In an array: steps to the next element. False at the end.
    bool next_element();

    // The next value if it is a string, as it stands between its quotes; empty for another value.
    std::string_view string_value();

    // The next value as it stands, whatever it is.
    std::string_view raw_value();

private:
    bool take(char wanted);
    char peek();
    void skip_string();
    void skip_nested();
    void fail() { this->failed = true; }
    // Before a field or element: false at the end of the object or array.
    bool continues(char closing);

    std::string_view text;
    std::size_t at = 0;
    bool failed = false;
    // Whether the next field or element is the first one.
    bool is_first = false;
};

} // namespace samphirespool::router
