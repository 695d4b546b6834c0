// The closed list of what makes the bytes of another party no response, and the counts of each.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace samphirespool::kernel {

enum class response_fault : std::uint8_t {
    none,
    // Found by the HTTP client (RFC 9110, RFC 9112).
    status_line,
    field_line,
    // Content-Length, Transfer-Encoding.
    framing_fields,
    head_size,
    chunk,
    trailer,
    // The connection was closed or reset within the response.
    cut_in_head,
    cut_in_body,
    // Longer than the caller of the client accepts.
    body_size,
    // Found by the sender of the request.
    // It does not repeat the request's id.
    other_request,
    // It lacks what shows that a target has produced it.
    no_seal,
    // It does not continue the event stream that its caller has received so far.
    not_an_event_stream,
    event_order,
    event_size,
    // It ends inside an event, or before its first one.
    incomplete_events,
    // The number of faults; not a fault itself.
    count,
};

// The name of a fault in logs and metrics.
std::string_view to_string(response_fault fault);

class response_fault_counts {
public:
    void add(response_fault fault) { ++this->counts.at(static_cast<std::size_t>(fault)); }
    std::uint64_t of(response_fault fault) const {
        return this->counts.at(static_cast<std::size_t>(fault));
    }

private:
    std::array<std::uint64_t, static_cast<std::size_t>(response_fault::count)> counts{};
};

} // namespace samphirespool::kernel
