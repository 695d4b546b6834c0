// Builds and sends error responses.
#include "http/error_response.hpp"

#include <nlohmann/json.hpp>

namespace samphirespool::http {

namespace {

constexpr int ms_per_second = 1000;

std::int64_t retry_after_ms(const error_response& error) {
    if (error.retry_after)
        return std::chrono::duration_cast<std::chrono::milliseconds>(*error.retry_after).count();
    return std::int64_t{kernel::error_mapping_for(error.reason.kind).retry_after_seconds} *
           ms_per_second;
}

// Formats as seconds, with a fraction only if it is not zero.
std::string seconds_text(std::int64_t milliseconds) {
    constexpr int digits = 3;
    const auto fraction = std::to_string(milliseconds % ms_per_second);
    auto text = std::to_string(milliseconds / ms_per_second);
    if (fraction != "0")
        text.append(".").append(digits - fraction.size(), '0').append(fraction);
    return text;
}

} // namespace

std::string error_body(const error_response& error) {
    const auto& mapping = kernel::error_mapping_for(error.reason.kind);
    nlohmann::json body;
    auto& fields = body["error"];
    fields["code"] = mapping.code;
    fields["message"] = error.reason.detail.empty() ? mapping.code : error.reason.detail;
    fields["outcome"] = kernel::to_string(error.outcome);
    fields["request_id"] = error.request_id;
    fields["retry_after_ms"] = retry_after_ms(error);
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void respond_with_error(exchange& caller, const error_response& error) {
    const auto& mapping = kernel::error_mapping_for(error.reason.kind);
    header_list headers{
        {"content-type", "application/json"},
        {std::string(outcome_field), std::string(kernel::to_string(error.outcome))}};
    if (!error.request_id.empty())
        headers.push_back({"x-request-id", error.request_id});
    if (const auto wait = retry_after_ms(error); wait > 0 || error.retry_after)
        headers.push_back({"retry-after", seconds_text(wait)});
    caller.respond(mapping.http_status, std::move(headers), error_body(error));
}

} // namespace samphirespool::http
