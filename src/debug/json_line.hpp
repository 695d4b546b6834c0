// Writes one JSON object as one line, directly as text and without building an object model.
#pragma once

#include "kernel/event.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace samphirespool::debug {

// Appends the text as a JSON string. The result is printable ASCII for any input: control and
// non-ASCII characters are escaped, and invalid UTF-8 is replaced by U+FFFD.
void append_json_string(std::string& out, std::string_view text);

// Members are written in the order of the calls. The caller must close every object that it opened
// before finish().
class json_line {
public:
    json_line() { this->text.push_back('{'); }

    void add(std::string_view name, std::string_view value);
    void add(std::string_view name, std::int64_t value);
    void add(std::string_view name, std::uint64_t value);
    // NaN and infinities become null.
    void add(std::string_view name, double value);
    void add(std::string_view name, bool value);
    void add(const kernel::event_field& field);

    // Begins a nested object as the value of the named member; close_object() ends it.
    void open_object(std::string_view name);
    void close_object() { this->text.push_back('}'); }

    std::size_t size() const { return this->text.size(); }

    // Removes everything that was added since size() returned the given value.
    void truncate(std::size_t size) { this->text.resize(size); }

    // Ends the outer object and the line, and returns the line. No other call may follow.
    std::string finish();

private:
    void append_name(std::string_view name);

    std::string text;
};

} // namespace samphirespool::debug
