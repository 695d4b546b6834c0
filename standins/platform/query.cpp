// Parses query strings and decodes percent-encoded values.
#include "standins/platform/query.hpp"

#include <charconv>

namespace samphirespool::standins {

std::string percent_decode(std::string_view text) {
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size()) {
            const auto* first = text.data() + i + 1;
            const auto parsed = std::from_chars(first, first + 2, value, 16);
            if (parsed.ec == std::errc{} && parsed.ptr == first + 2) {
                result.push_back(static_cast<char>(value));
                i += 2;
                continue;
            }
        }
        result.push_back(text[i]);
    }
    return result;
}

std::optional<std::string> query_value(std::string_view query, std::string_view name) {
    while (!query.empty()) {
        const auto end = query.find('&');
        const auto field = query.substr(0, end);
        const auto split = field.find('=');
        if (field.substr(0, split) == name)
            return split == std::string_view::npos ? "" : percent_decode(field.substr(split + 1));
        if (end == std::string_view::npos)
            return std::nullopt;
        query.remove_prefix(end + 1);
    }
    return std::nullopt;
}

std::optional<std::uint64_t> query_number(std::string_view query, std::string_view name) {
    const auto text = query_value(query, name);
    if (!text || text->empty())
        return std::nullopt;
    std::uint64_t value = 0;
    const auto* last = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), last, value);
    if (parsed.ec != std::errc{} || parsed.ptr != last)
        return std::nullopt;
    return value;
}

} // namespace samphirespool::standins
