// The closed list of error kinds, and the table that maps each kind to the response that a caller
// receives.
#pragma once

#include "kernel/response_fault.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace samphirespool::kernel {

enum class error_kind : std::uint8_t {
    bad_request,
    unauthorized,
    forbidden,
    not_found,
    conflict,
    payload_too_large,
    header_too_large,
    request_timeout,
    unknown_service,
    no_target,
    deadline_exceeded,
    organisation_limit,
    queue_full,
    store_unavailable,
    claim_unavailable,
    claim_in_progress,
    claim_expired,
    already_executed,
    target_unreachable,
    target_failed,
    answer_truncated,
    retry_budget_spent,
    shutting_down,
    not_ready,
    invalid_settings,
    invalid_configuration,
    malformed_frame,
    internal,
    // The target's connection was closed or reset before the response.
    connection_lost,
    // A segment of the prompt has crashed several targets.
    prompt_quarantined,
    // The request itself, in earlier attempts of its caller, has crashed several targets.
    request_quarantined,
    // A stream cannot go on: it is not known at which software version it began.
    stream_origin_unknown,
    // The number of kinds; not a kind itself.
    count,
};

// What a caller may conclude about whether its request was executed.
enum class request_outcome : std::uint8_t {
    answered,
    not_run,
    unknown,
};

// What a response to a caller says for an error kind. Invariant: outcome is the most certain one
// that the kind allows. A request that was sent to a target reports `unknown` whatever its kind
// says; see request/.
struct error_mapping {
    error_kind kind;
    // The stable error code that callers receive.
    std::string_view code;
    int http_status;
    request_outcome outcome;
    // Seconds for Retry-After; 0 means that the header is left out.
    int retry_after_seconds;
};

// Why a call failed; of several attempts, the reason of the last one.
struct error {
    error_kind kind = error_kind::internal;
    std::string detail;
    // Set if the reason is a malformed or incomplete response.
    response_fault fault = response_fault::none;
};

const error_mapping& error_mapping_for(error_kind kind);
std::string_view to_string(request_outcome outcome);

} // namespace samphirespool::kernel
