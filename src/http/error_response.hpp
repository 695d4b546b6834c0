// The answer to a request that was not served: status, headers and JSON body from an error kind.
#pragma once

#include "http/server.hpp"
#include "kernel/error.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace samphirespool::http {

struct error_response {
    kernel::error reason;
    kernel::request_outcome outcome = kernel::request_outcome::not_run;
    // Empty while the request has none yet.
    std::string request_id;
    // When the caller should come back; nothing: as the table in kernel/error.cpp says.
    std::optional<helpers::duration> retry_after;
};

// `{"error":{"code","message","outcome","request_id","retry_after_ms"}}`
std::string error_body(const error_response& error);

// Invariant: a status of the table in kernel/error.cpp, and `x-outcome` always present.
void respond_with_error(exchange& caller, const error_response& error);

} // namespace samphirespool::http
