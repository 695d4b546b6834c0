// Error responses: status, headers and JSON body for an error kind.
#pragma once

#include "http/server.hpp"
#include "kernel/error.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace samphirespool::http {

// States what the caller may conclude about whether its request was executed.
constexpr std::string_view outcome_field = "x-outcome";

struct error_response {
    kernel::error reason;
    kernel::request_outcome outcome = kernel::request_outcome::not_run;
    // Empty if the request has no id yet.
    std::string request_id;
    // Time after which the caller may retry. If unset, the error kind's value in kernel/error.cpp
    // is used.
    std::optional<helpers::duration> retry_after;
};

// Returns the body: `{"error":{"code","message","outcome","request_id","retry_after_ms"}}`
std::string error_body(const error_response& error);

// Sends the error response, with the status from kernel/error.cpp. `x-outcome` is always present.
void respond_with_error(exchange& caller, const error_response& error);

} // namespace samphirespool::http
