// The table from error kind to response.
#include "kernel/error.hpp"

#include <array>
#include <cstddef>

namespace samphirespool::kernel {

namespace {

constexpr auto not_run = request_outcome::not_run;
constexpr auto unknown = request_outcome::unknown;
constexpr auto answered = request_outcome::answered;

constexpr std::array<error_mapping, static_cast<std::size_t>(error_kind::count)> error_mappings{{
    {error_kind::bad_request, "bad_request", 400, not_run, 0},
    {error_kind::unauthorized, "unauthorized", 401, not_run, 0},
    {error_kind::forbidden, "forbidden", 403, not_run, 0},
    {error_kind::not_found, "not_found", 404, not_run, 0},
    {error_kind::conflict, "conflict", 409, not_run, 0},
    {error_kind::payload_too_large, "payload_too_large", 413, not_run, 0},
    {error_kind::header_too_large, "header_too_large", 431, not_run, 0},
    {error_kind::request_timeout, "request_timeout", 408, not_run, 0},
    {error_kind::unknown_service, "unknown_service", 404, not_run, 0},
    {error_kind::no_target, "no_target", 503, not_run, 1},
    {error_kind::deadline_exceeded, "deadline_exceeded", 504, not_run, 1},
    {error_kind::organisation_limit, "organisation_limit", 429, not_run, 1},
    {error_kind::queue_full, "queue_full", 503, not_run, 1},
    {error_kind::store_unavailable, "store_unavailable", 503, not_run, 2},
    {error_kind::claim_unavailable, "claim_unavailable", 503, not_run, 2},
    {error_kind::claim_in_progress, "claim_in_progress", 409, unknown, 1},
    {error_kind::claim_expired, "claim_expired", 410, not_run, 0},
    {error_kind::already_executed, "already_executed", 409, unknown, 0},
    {error_kind::target_unreachable, "target_unreachable", 502, not_run, 1},
    {error_kind::target_failed, "target_failed", 502, unknown, 1},
    {error_kind::answer_truncated, "answer_truncated", 502, unknown, 1},
    {error_kind::retry_budget_spent, "retry_budget_spent", 503, unknown, 2},
    {error_kind::shutting_down, "shutting_down", 503, not_run, 1},
    {error_kind::not_ready, "not_ready", 503, not_run, 1},
    {error_kind::invalid_settings, "invalid_settings", 500, not_run, 0},
    {error_kind::invalid_configuration, "invalid_configuration", 422, not_run, 0},
    {error_kind::malformed_frame, "malformed_frame", 500, not_run, 0},
    {error_kind::internal, "internal", 500, unknown, 0},
    {error_kind::connection_lost, "connection_lost", 502, unknown, 1},
    {error_kind::prompt_quarantined, "prompt_quarantined", 503, not_run, 10},
    {error_kind::request_quarantined, "request_quarantined", 503, not_run, 10},
    {error_kind::stream_origin_unknown, "stream_origin_unknown", 503, not_run, 1},
}};

constexpr bool is_in_enum_order() {
    for (std::size_t i = 0; i < error_mappings.size(); ++i)
        if (error_mappings[i].kind != static_cast<error_kind>(i))
            return false;
    return true;
}

static_assert(is_in_enum_order(), "the table follows the order of error_kind");
static_assert(error_mappings.back().outcome != answered);

} // namespace

const error_mapping& error_mapping_for(error_kind kind) {
    return error_mappings.at(static_cast<std::size_t>(kind));
}

std::string_view to_string(request_outcome outcome) {
    switch (outcome) {
    case request_outcome::answered:
        return "answered";
    case request_outcome::not_run:
        return "not run";
    case request_outcome::unknown:
        break;
    }
    return "outcome unknown";
}

} // namespace samphirespool::kernel
