// Structured log events, and the interface of the logs that record them.
#pragma once

#include "helpers/ids.hpp"

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace samphirespool::kernel {

enum class severity : std::uint8_t {
    debug,
    info,
    warning,
    error,
};

struct event_field {
    std::string_view name;
    std::variant<std::int64_t, std::uint64_t, double, bool, std::string> value;
};

// Receives the events of a process, usually to write them to its log.
class event_sink {
public:
    virtual ~event_sink() = default;

    // name is a stable identifier such as "request.sent"; request is the request that the event
    // belongs to, if any; fields are written in the given order.
    virtual void write(severity level, std::string_view name,
                       const std::optional<helpers::request_id>& request,
                       std::initializer_list<event_field> fields) = 0;
};

// Discards all events.
class null_sink final : public event_sink {
public:
    void write(severity, std::string_view, const std::optional<helpers::request_id>&,
               std::initializer_list<event_field>) override {}
};

} // namespace samphirespool::kernel
