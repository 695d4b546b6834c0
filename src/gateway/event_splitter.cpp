// Finds event boundaries and parses event ids.
#include "gateway/event_splitter.hpp"

#include <charconv>

namespace samphirespool::gateway {

namespace {

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view id_field = "id:";

std::optional<std::uint64_t> id_of(std::string_view event) {
    std::size_t start = 0;
    while (start < event.size()) {
        const auto end = event.find('\n', start);
        auto line = event.substr(start, end == std::string_view::npos ? end : end - start);
        if (line.starts_with(id_field)) {
            line.remove_prefix(id_field.size());
            while (line.starts_with(' '))
                line.remove_prefix(1);
            std::uint64_t value = 0;
            const auto result = std::from_chars(line.data(), line.data() + line.size(), value);
            if (result.ec == std::errc())
                return value;
        }
        if (end == std::string_view::npos)
            break;
        start = end + 1;
    }
    return std::nullopt;
}

} // namespace

std::string_view event_splitter::append(std::string_view data) {
    this->complete.clear();
    this->partial.append(data);
    const std::string_view text = this->partial;
    std::size_t start = 0;
    while (true) {
        const auto end = text.find(event_end, start);
        if (end == std::string_view::npos)
            break;
        this->emit(text.substr(start, end + event_end.size() - start));
        start = end + event_end.size();
    }
    this->partial.erase(0, start);
    return this->complete;
}

void event_splitter::emit(std::string_view event) {
    const auto id = id_of(event);
    if (id && this->last_event_id && *id <= *this->last_event_id)
        return;
    if (id)
        this->last_event_id = id;
    ++this->emitted;
    this->complete.append(event);
}

} // namespace samphirespool::gateway
