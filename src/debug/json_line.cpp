// Implementation of the JSON line writer.
#include "debug/json_line.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

namespace samphirespool::debug {

namespace {

bool needs_no_escape(unsigned char character) {
    return character >= 0x20 && character < 0x7f && character != '"' && character != '\\';
}

template <class Number>
void append_number(std::string& out, Number value) {
    std::array<char, 32> buffer;
    const auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    out.append(buffer.data(), end);
}

} // namespace

void append_json_string(std::string& out, std::string_view text) {
    if (std::all_of(text.begin(), text.end(), needs_no_escape)) {
        out.push_back('"');
        out.append(text);
        out.push_back('"');
        return;
    }
    constexpr bool ascii_only = true;
    out.append(
        nlohmann::json(text).dump(-1, ' ', ascii_only, nlohmann::json::error_handler_t::replace));
}

void json_line::append_name(std::string_view name) {
    if (this->text.back() != '{')
        this->text.push_back(',');
    append_json_string(this->text, name);
    this->text.push_back(':');
}

void json_line::add(std::string_view name, std::string_view value) {
    this->append_name(name);
    append_json_string(this->text, value);
}

void json_line::add(std::string_view name, std::int64_t value) {
    this->append_name(name);
    append_number(this->text, value);
}

void json_line::add(std::string_view name, std::uint64_t value) {
    this->append_name(name);
    append_number(this->text, value);
}

void json_line::add(std::string_view name, double value) {
    this->append_name(name);
    if (std::isfinite(value))
        append_number(this->text, value);
    else
        this->text.append("null");
}

void json_line::add(std::string_view name, bool value) {
    this->append_name(name);
    this->text.append(value ? "true" : "false");
}

void json_line::add(const kernel::event_field& field) {
    std::visit([&](const auto& value) { this->add(field.name, value); }, field.value);
}

void json_line::open_object(std::string_view name) {
    this->append_name(name);
    this->text.push_back('{');
}

std::string json_line::finish() {
    this->text.append("}\n");
    return std::move(this->text);
}

} // namespace samphirespool::debug
