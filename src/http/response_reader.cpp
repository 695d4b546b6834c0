// A state machine over the lines of a head.
#include "http/response_reader.hpp"

#include "http/field_line.hpp"
#include "http/framing_lines.hpp"

namespace samphirespool::http {

namespace {

using kernel::response_fault;

constexpr std::string_view line_end = "\r\n";
constexpr int first_status = 100;
constexpr int last_status = 599;
constexpr int first_final_status = 200;
// No request of this client asks for another protocol.
constexpr int status_switching_protocols = 101;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

} // namespace

response_fault response_reader::append(std::string_view data) {
    while (!data.empty() && this->current != part::body) {
        const bool is_complete = this->take_line(data);
        if (this->head_bytes > max_head_bytes)
            return response_fault::head_size;
        if (!is_complete)
            return response_fault::none;
        const auto fault = this->judge_line();
        this->line.clear();
        if (fault != response_fault::none)
            return fault;
    }
    if (this->found_end != body_end::chunks || this->chunks.append(data))
        return response_fault::none;
    return this->chunks.has_invalid_trailer() ? response_fault::trailer : response_fault::chunk;
}

bool response_reader::take_line(std::string_view& data) {
    const auto end = data.find('\n');
    const auto count = end == std::string_view::npos ? data.size() : end + 1;
    this->head_bytes += count;
    if (this->head_bytes <= max_head_bytes)
        this->line.append(data.substr(0, count));
    data.remove_prefix(count);
    return end != std::string_view::npos;
}

response_fault response_reader::judge_line() {
    std::string_view text = this->line;
    const bool is_status_line = this->current == part::status_line;
    const bool has_line_end = text.ends_with(line_end);
    text.remove_suffix(has_line_end ? line_end.size() : 0);
    if (!has_line_end || !is_clean_line(text))
        return is_status_line ? response_fault::status_line : response_fault::field_line;
    if (is_status_line)
        return this->judge_status_line(text);
    return text.empty() ? this->end_head() : this->judge_field(text);
}

response_fault response_reader::judge_status_line(std::string_view text) {
    const auto parsed = parse_status_line(text);
    if (!parsed || parsed->status < first_status || parsed->status > last_status ||
        parsed->status == status_switching_protocols)
        return response_fault::status_line;
    this->status = parsed->status;
    this->is_http_1_0 = parsed->is_http_1_0;
    this->has_length = false;
    this->is_chunked = false;
    this->current = part::fields;
    return response_fault::none;
}

response_fault response_reader::judge_field(std::string_view text) {
    // The name of a continuation line would begin with a blank.
    if (!has_field_name(text))
        return response_fault::field_line;
    const bool is_length = is_field(text, "content-length");
    const bool is_encoding = is_field(text, "transfer-encoding");
    if (!is_length && !is_encoding)
        return response_fault::none;
    // HTTP/1.0 has no chunked bodies, so another party may end the message elsewhere.
    const bool is_valid = is_length ? parse_length(field_value(text)).has_value()
                                    : field_value(text) == "chunked" && !this->is_http_1_0;
    if (!is_valid || this->has_length || this->is_chunked)
        return response_fault::framing_fields;
    this->has_length = is_length;
    this->is_chunked = is_encoding;
    return response_fault::none;
}

response_fault response_reader::end_head() {
    if (this->status < first_final_status) {
        this->current = part::status_line;
        return response_fault::none;
    }
    this->current = part::body;
    const bool has_no_body = this->is_to_head_request || this->status == status_no_content ||
                             this->status == status_not_modified;
    this->found_end = has_no_body        ? body_end::none
                      : this->is_chunked ? body_end::chunks
                      : this->has_length ? body_end::length
                                         : body_end::close;
    return response_fault::none;
}

} // namespace samphirespool::http
