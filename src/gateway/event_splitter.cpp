// Finds event boundaries and parses event ids.
#include "gateway/event_splitter.hpp"

#include <algorithm>
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

void event_splitter::begin_response() {
    this->partial.clear();
    this->is_continuing = this->emitted > 0 || this->last_event_id;
    this->out_of_order = false;
}

void event_splitter::resume_after(std::uint64_t id) {
    this->last_event_id = id;
    this->is_continuing = true;
}

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

bool event_splitter::is_next(std::optional<std::uint64_t> id) const {
    if (!id || !this->last_event_id || *id <= *this->last_event_id)
        return false;
    return this->largest_step == 0 || *id - *this->last_event_id <= this->largest_step;
}

void event_splitter::emit(std::string_view event) {
    const auto id = id_of(event);
    // A comment is no event.
    if (this->is_continuing && !id && event.starts_with(':'))
        return;
    // Targets may repeat the event that they are told as the last one.
    const bool is_repeated = id && id == this->last_event_id;
    if (this->is_continuing && !is_repeated && !this->is_next(id))
        this->out_of_order = true;
    if (this->out_of_order || (id && this->last_event_id && *id <= *this->last_event_id))
        return;
    this->is_continuing = false;
    if (id) {
        constexpr std::uint64_t min_step = 1;
        const auto step = *id - this->last_event_id.value_or(0);
        this->largest_step = std::max({this->largest_step, step, min_step});
        this->last_event_id = id;
    }
    ++this->emitted;
    this->complete.append(event);
}

} // namespace samphirespool::gateway
