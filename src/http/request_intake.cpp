// Limits of a request while it arrives, and the head as it is passed on.
#include "http/request_intake.hpp"

#include "http/field_line.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::http {

namespace {

constexpr std::string_view line_end = "\r\n";
// Separators and line ends of a head, which its limit does not count.
constexpr std::size_t max_head_overhead = 1024;
constexpr std::size_t min_body_capacity = 4096;
// Copies of a complete head besides the received one: h2o's input and the fields of the exchange.
constexpr std::size_t head_copies = 3;

bool is_passed_on(std::string_view line) {
    return !is_field(line, "content-length") && !is_field(line, "transfer-encoding") &&
           !is_field(line, "expect");
}

} // namespace

request_intake::progress request_intake::fail(kernel::error_kind kind, std::string_view detail) {
    this->last_fault = {kind, std::string(detail)};
    return progress::invalid;
}

request_intake::progress request_intake::append(std::string_view& data,
                                                const request_limits& limits) {
    this->is_empty = this->is_empty && data.empty();
    while (!data.empty() && !this->message.is_complete) {
        const bool had_head = this->has_head();
        if (!this->framing.take(data, this->message))
            return this->fail(kernel::error_kind::bad_request,
                              "the framing of the request is malformed");
        const auto head_bytes =
            this->has_head() ? this->message.head.size() : this->framing.head_bytes();
        if (head_bytes > limits.max_header_bytes + max_head_overhead)
            return this->fail(kernel::error_kind::header_too_large, "");
        if (this->message.length.value_or(this->message.body.size()) > limits.max_body_bytes)
            return this->fail(kernel::error_kind::payload_too_large, "");
        if (!had_head && this->has_head() && !this->message.is_complete)
            return progress::head_complete;
    }
    return this->message.is_complete ? progress::complete : progress::incomplete;
}

bool request_intake::expects_continue() const {
    std::string_view rest = this->message.head;
    while (!rest.empty()) {
        const auto line = rest.substr(0, rest.find(line_end));
        if (is_field(line, "expect"))
            return true;
        rest.remove_prefix(std::min(rest.size(), line.size() + line_end.size()));
    }
    return false;
}

std::string request_intake::head_without_framing() const {
    std::string result;
    result.reserve(this->message.head.size());
    std::string_view rest = this->message.head;
    while (!rest.empty()) {
        const auto line = rest.substr(0, rest.find(line_end));
        if (is_passed_on(line))
            result.append(line).append(line_end);
        rest.remove_prefix(line.size() + line_end.size());
    }
    return result;
}

std::string request_intake::take() {
    this->is_empty = true;
    return std::exchange(this->message, {}).body;
}

void request_intake::discard() {
    this->message = {};
    this->framing = {};
    this->is_empty = true;
}

std::size_t request_intake::held() const {
    return this->message.head.capacity() + head_copies * this->message.head.size() +
           this->framing.held_bytes() + this->message.body.capacity();
}

std::size_t request_intake::body_capacity_after(std::size_t more,
                                                const request_limits& limits) const {
    const auto& body = this->message.body;
    if (!this->has_head() || this->message.length || body.capacity() - body.size() >= more)
        return body.capacity();
    // A body in chunks grows by doubling, up to its limit.
    const auto doubled = std::max(min_body_capacity, 2 * body.capacity());
    return std::max(body.size() + more, std::min(doubled, limits.max_body_bytes));
}

std::size_t request_intake::held_after(std::size_t more, const request_limits& limits) const {
    const auto head_growth = this->has_head() ? 0 : more;
    return this->held() + head_growth + this->body_capacity_after(more, limits) -
           this->message.body.capacity();
}

void request_intake::make_room(std::size_t more, const request_limits& limits) {
    const auto capacity = this->body_capacity_after(more, limits);
    if (capacity > this->message.body.capacity())
        this->message.body.reserve(capacity);
}

} // namespace samphirespool::http
