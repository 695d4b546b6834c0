// Names of the HTTP header fields that callers, gateways and targets exchange. The defaults are the
// project's own names; a platform may replace them. All names are lower case.
#pragma once

#include <string>
#include <vector>

namespace samphirespool::gateway {

struct header_names {
    // Identifies one attempt of a caller. Targets echo it in their responses.
    std::string request_id = "x-request-id";
    // Milliseconds for which the sender still waits for the response.
    std::string deadline = "x-deadline-ms";
    // Segments of the prompt in order, as "id:tokens" (hexadecimal:decimal), separated by commas.
    std::string prompt_segments = "x-prompt-parts";
    // "prompt tokens,maximum output tokens"
    std::string token_count = "x-tokens";
    // The caller's estimate of the output tokens.
    std::string length_hint = "x-length-hint";
    std::string last_event_id = "last-event-id";
    // Set by a caller that takes up a stream again: the id of its attempt that brought the first
    // event.
    std::string resumed_attempt = "x-resumes";
    // The organisation to which the caller's API key belongs.
    std::string organisation = "x-organisation";
    // Name of the target to which the request is sent. A target of another name rejects the
    // request with status 421.
    std::string expected_target = "x-expected-target";
    // Set in responses: "running requests,queued requests,slots".
    std::string target_load = "x-target-load";
    // Set in responses of a target in need: requests per second that it takes from all gateways
    // together, as a decimal number, for as long as its responses have it.
    std::string target_limit = "x-target-limit";
    // Set in responses of a target that falls over if it has to reject more requests than this, a
    // whole number, within a second.
    std::string target_brittle = "x-target-brittle";
    // Set to 1 in all responses of a target that is about to stop.
    std::string target_leaving = "x-target-leaving";
    // Set in rejections by a target: the request was not executed.
    std::string not_run = "x-not-run";
    // Priority of the request, from 0 (most urgent) to 9.
    std::string urgency = "x-urgency";
    // Present in responses that a target itself produced.
    std::string seal = "x-seal";
    // Address of a target from which an engine can fetch cached prompt segments that it lacks.
    std::string fetch_from = "x-fetch-from";
    // Fields that are removed from callers' requests.
    std::vector<std::string> reserved;
};

} // namespace samphirespool::gateway
