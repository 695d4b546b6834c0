// Builds the answer for an error.
#include "http/error_response.hpp"

#include <nlohmann/json.hpp>

namespace samphirespool::http {

namespace {

constexpr int ms_per_second = 1000;

} // namespace

std::string error_body(const error_response& error) {
    const auto& answer = kernel::answer_for(error.reason.kind);
    nlohmann::json body;
    auto& fields = body["error"];
    fields["code"] = answer.code;
    fields["message"] = error.reason.detail.empty() ? answer.code : error.reason.detail;
    fields["outcome"] = kernel::to_string(error.outcome);
    fields["request_id"] = error.request_id;
    fields["retry_after_ms"] = answer.retry_after_seconds * ms_per_second;
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void respond_with_error(exchange& caller, const error_response& error) {
    const auto& answer = kernel::answer_for(error.reason.kind);
    header_list headers{{"content-type", "application/json"},
                        {"x-outcome", std::string(kernel::to_string(error.outcome))}};
    if (!error.request_id.empty())
        headers.push_back({"x-request-id", error.request_id});
    if (answer.retry_after_seconds != 0)
        headers.push_back({"retry-after", std::to_string(answer.retry_after_seconds)});
    caller.respond(answer.http_status, std::move(headers), error_body(error));
}

} // namespace samphirespool::http
