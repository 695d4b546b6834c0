// Names of the header fields between callers, gateway and targets. The defaults are the project's
// own; a platform may have others. All are lower case.
#pragma once

#include <string>
#include <vector>

namespace samphirespool::gateway {

struct header_names {
    // Identifies one try of a caller. Targets repeat it in their answers.
    std::string request_id = "x-request-id";
    // Milliseconds that the caller, or the sender, still waits.
    std::string deadline = "x-deadline-ms";
    // Parts of the prompt in order, as "id:tokens" in hex and decimal, separated by commas.
    std::string prompt_parts = "x-prompt-parts";
    // "prompt tokens,most output tokens"
    std::string token_count = "x-tokens";
    // The caller's estimate of the output tokens.
    std::string length_hint = "x-length-hint";
    std::string last_event = "last-event-id";
    // The organisation that holds the caller's key.
    std::string organisation = "x-organisation";
    // A target of another name refuses the request with 421.
    std::string expected_target = "x-expected-target";
    // In answers: "running,waiting,slots".
    std::string target_load = "x-target-load";
    // In refusals of targets: the request did not run.
    std::string not_run = "x-not-run";
    // From 0, the most urgent, to 9.
    std::string urgency = "x-urgency";
    // Marks answers that come from a target.
    std::string seal = "x-seal";
    // Address of a target from which an engine fetches parts of the prompt that it lacks.
    std::string fetch_from = "x-fetch-from";
    // Fields that callers may not set.
    std::vector<std::string> reserved;
};

} // namespace samphirespool::gateway
