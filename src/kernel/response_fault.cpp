// Names of the faults.
#include "kernel/response_fault.hpp"

namespace samphirespool::kernel {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(response_fault::count)> names{
    "none",
    "status_line",
    "field_line",
    "framing_fields",
    "head_size",
    "chunk",
    "trailer",
    "cut_in_head",
    "cut_in_body",
    "body_size",
    "other_request",
    "no_seal",
    "not_an_event_stream",
    "event_order",
    "event_size",
    "incomplete_events"};

static_assert(!names.back().empty(), "each fault has a name");

} // namespace

std::string_view to_string(response_fault fault) {
    return names.at(static_cast<std::size_t>(fault));
}

} // namespace samphirespool::kernel
