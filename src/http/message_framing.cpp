// A state machine over heads, bodies with a length and chunked bodies.
#include "http/message_framing.hpp"

#include "http/field_line.hpp"
#include "http/framing_lines.hpp"
#include "http/request_head.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::http {

namespace {

constexpr std::string_view line_end = "\r\n";
// Above h2o's own bound, which leads to its error response.
constexpr std::size_t max_head_bytes = std::size_t{1} << 20;
constexpr std::size_t max_framing_bytes = 16384;

} // namespace

message_framing message_framing::of_chunked_body() {
    message_framing result;
    result.current = part::chunk_size;
    result.next_message = part::unchecked;
    return result;
}

bool message_framing::append(std::string_view data) {
    while (!data.empty() && this->current != part::invalid && this->current != part::unchecked) {
        if (this->consume(data, nullptr))
            continue;
        this->is_trailer_invalid = this->current == part::trailer;
        this->current = part::invalid;
    }
    return this->current != part::invalid;
}

bool message_framing::take(std::string_view& data, received_message& message) {
    const bool had_head = !message.head.empty();
    while (!data.empty() && this->current != part::invalid && !message.is_complete) {
        if (!this->consume(data, &message))
            this->current = part::invalid;
        message.is_complete = !message.head.empty() && this->current == part::head;
        if (!had_head && !message.head.empty())
            break;
    }
    return this->current != part::invalid;
}

bool message_framing::consume(std::string_view& data, received_message* message) {
    if (this->current == part::sized_body || this->current == part::chunk_data) {
        this->skip(data, message);
        return true;
    }
    if (this->take_line(data))
        return this->end_line(message);
    const auto limit = this->current == part::head ? max_head_bytes : max_framing_bytes;
    return this->buffer.size() + this->trailer_bytes <= limit;
}

void message_framing::skip(std::string_view& data, received_message* message) {
    const auto count = std::min<std::uint64_t>(this->left, data.size());
    if (message != nullptr)
        message->body.append(data.substr(0, count));
    data.remove_prefix(count);
    this->left -= count;
    if (this->left == 0)
        this->current = this->current == part::chunk_data ? part::chunk_end : part::head;
}

bool message_framing::take_line(std::string_view& data) {
    const auto end = data.find('\n');
    const auto count = end == std::string_view::npos ? data.size() : end + 1;
    this->buffer.append(data.substr(0, count));
    data.remove_prefix(count);
    return end != std::string_view::npos;
}

// Within a line only its last byte can become valid by the bytes that follow: a carriage return.
bool message_framing::end_line(received_message* message) {
    const auto whole = std::string_view(this->buffer).substr(this->line_start);
    if (!whole.ends_with(line_end))
        return false;
    const auto line = whole.substr(0, whole.size() - line_end.size());
    if (!is_clean_line(line))
        return false;
    if (this->current == part::head) {
        // Empty lines before a request are ignored.
        if (line.empty() && this->line_start == 0) {
            this->buffer.clear();
            this->empty_line_bytes += line_end.size();
            return this->empty_line_bytes <= max_framing_bytes;
        }
        this->line_start = this->buffer.size();
        return !line.empty() || this->end_head(message);
    }
    if (this->current == part::chunk_size)
        return this->end_chunk_size();
    if (this->current == part::chunk_end) {
        this->buffer.clear();
        this->current = part::chunk_size;
        return line.empty();
    }
    const bool is_valid = this->end_trailer(line);
    this->buffer.clear();
    return is_valid;
}

bool message_framing::end_trailer(std::string_view line) {
    if (line.empty()) {
        this->trailer_bytes = 0;
        this->current = this->next_message;
        return true;
    }
    this->trailer_bytes += line.size() + line_end.size();
    return has_field_name(line) && this->trailer_bytes <= max_framing_bytes;
}

bool message_framing::end_head(received_message* message) {
    const std::string_view head = this->buffer;
    if (find_head_fault(head) != head_fault::none)
        return false;
    this->left = 0;
    bool is_chunked = false;
    const auto request_line = head.substr(0, head.find(line_end));
    if (!is_request_line(request_line))
        return false;
    auto rest = head.substr(request_line.size() + line_end.size());
    while (rest != line_end) {
        const auto line = rest.substr(0, rest.find(line_end));
        rest.remove_prefix(line.size() + line_end.size());
        if (!has_field_name(line))
            return false;
        if (is_field(line, "content-length")) {
            const auto length = parse_length(field_value(line));
            if (!length)
                return false;
            this->left = *length;
        } else if (is_field(line, "transfer-encoding")) {
            // HTTP/1.0 has no chunked bodies, so another party may end the message elsewhere.
            if (is_chunked || field_value(line) != "chunked" || request_line.ends_with(http_1_0))
                return false;
            is_chunked = true;
        }
    }
    if (message != nullptr) {
        message->head = std::exchange(this->buffer, {});
        if (!is_chunked)
            message->length = this->left;
    }
    this->buffer.clear();
    this->line_start = 0;
    this->empty_line_bytes = 0;
    this->current = is_chunked ? part::chunk_size : this->left != 0 ? part::sized_body : part::head;
    return true;
}

bool message_framing::end_chunk_size() {
    const auto size = parse_chunk_size(
        std::string_view(this->buffer).substr(0, this->buffer.size() - line_end.size()));
    this->buffer.clear();
    if (!size)
        return false;
    this->left = *size;
    this->current = *size == 0 ? part::trailer : part::chunk_data;
    return true;
}

} // namespace samphirespool::http
