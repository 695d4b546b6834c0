// One JSON object written as one line, in order of the calls, without an object model between.
#pragma once

#include "kernel/event.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace samphirespool::debug {

// Appends a JSON string. The result is printable ASCII whatever the content is: control characters
// and all beyond ASCII are escaped, and bytes that are no UTF-8 become U+FFFD.
void append_json_string(std::string& out, std::string_view text);

class json_line {
public:
    json_line() { this->text.push_back('{'); }

    void add(std::string_view name, std::string_view value);
    void add(std::string_view name, std::int64_t value);
    void add(std::string_view name, std::uint64_t value);
    // Numbers that JSON cannot hold become null.
    void add(std::string_view name, double value);
    void add(std::string_view name, bool value);
    void add(const kernel::event_field& field);

    void open(std::string_view name);
    void close() { this->text.push_back('}'); }

    std::size_t size() const { return this->text.size(); }

    // Undoes what was added since the size was taken.
    void cut(std::size_t size) { this->text.resize(size); }

    // Closes the object and the line. Nothing may be added afterwards.
    std::string finish();

private:
    void name(std::string_view name);

    std::string text;
};

} // namespace samphirespool::debug
